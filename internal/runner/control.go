package runner

import (
	"time"

	"github.com/lagooncleat/lagooncleat/internal/executor"
	"github.com/lagooncleat/lagooncleat/internal/journaler"
	"github.com/lagooncleat/lagooncleat/internal/storer"
)

// openJournal opens the data folder of a control host and adds it to the dependencies. It
// does nothing on other hosts. When the folder is damaged, it returns an error that names
// the file and the offset, and the host doesn't start.
func (r *Runner) openJournal(d *executor.Dependencies) error {
	folder := r.settings.Control.DataFolder
	if folder == "" {
		return nil
	}
	journal, recovered, err := journaler.Open(storer.Parameters{Folder: folder, RetryWrite: r.waitToRetryWrite})
	if err != nil {
		return err
	}
	if journal.RemovedBytes > 0 {
		r.logger.Warn("removed an incomplete write from the data folder", "folder", folder, "bytes", journal.RemovedBytes)
	}
	if journal.ServerListError != nil {
		r.logger.Warn("stored server list ignored", "folder", folder, "reason", journal.ServerListError)
	}
	r.logger.Info("data folder opened", "folder", folder, "replica", recovered.Replica)
	r.journal = journal
	d.Storage = journal
	d.ServerLists = journal
	d.Recovered = &recovered
	return nil
}

// writeRetryInterval is the pause before a failed write to the data folder is retried, for
// example while the disk is full.
const writeRetryInterval = 200 * time.Millisecond

// waitToRetryWrite waits before a failed write is retried, and returns false once the host is
// stopping. Until the write succeeds, the host sends no vote and no acknowledgement that
// depends on it, so its log stays consistent with those of the other members and can catch up
// afterwards.
func (r *Runner) waitToRetryWrite(cause error) bool {
	r.logger.Warn("write to data folder failed; retrying", "error", cause)
	time.Sleep(writeRetryInterval)
	return !r.stopping.Load()
}

// closeJournal closes the data folder. It must be called after the host has stopped, so that
// nothing else writes to the folder.
func (r *Runner) closeJournal() {
	if r.journal == nil {
		return
	}
	if err := r.journal.Close(); err != nil {
		r.logger.Error("failed to close the data folder", "error", err)
	}
}
