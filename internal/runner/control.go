package runner

import (
	"time"

	"github.com/lagooncleat/lagooncleat/internal/executor"
	"github.com/lagooncleat/lagooncleat/internal/journaler"
	"github.com/lagooncleat/lagooncleat/internal/storer"
)

// openJournal opens the data folder of a host with the control role and adds it
// to the dependencies. Damage to the folder is an error that names the file and
// the offset; the host then does not start.
func (r *Runner) openJournal(d *executor.Dependencies) error {
	folder := r.settings.Control.DataFolder
	if folder == "" {
		return nil
	}
	journal, recovered, err := journaler.Open(storer.Parameters{Folder: folder, Wait: r.waitForDisk})
	if err != nil {
		return err
	}
	if journal.Repaired > 0 {
		r.logger.Warn("removed a write that never finished", "folder", folder, "bytes", journal.Repaired)
	}
	if journal.ServerListError != nil {
		r.logger.Warn("stored server list not used", "folder", folder, "reason", journal.ServerListError)
	}
	r.logger.Info("data folder opened", "folder", folder, "replica", recovered.Replica)
	r.journal = journal
	d.Storage = journal
	d.ServerLists = journal
	d.Recovered = &recovered
	return nil
}

// diskRetryInterval separates the tries to write to a disk that takes nothing, as while
// it is full.
const diskRetryInterval = 200 * time.Millisecond

// waitForDisk waits before a write is tried again, until the host stops. Meanwhile the
// host promises nothing, so that its log goes on where the others are.
func (r *Runner) waitForDisk(cause error) bool {
	r.logger.Warn("data folder takes no writes; trying again", "error", cause)
	time.Sleep(diskRetryInterval)
	return !r.stopping.Load()
}

// closeJournal releases the data folder, once nothing stores any more.
func (r *Runner) closeJournal() {
	if r.journal == nil {
		return
	}
	if err := r.journal.Close(); err != nil {
		r.logger.Error("data folder not closed", "error", err)
	}
}
