package runner

import (
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
	journal, recovered, err := journaler.Open(storer.Parameters{Folder: folder})
	if err != nil {
		return err
	}
	if journal.Repaired > 0 {
		r.logger.Warn("removed a write that never finished", "folder", folder, "bytes", journal.Repaired)
	}
	if journal.Roster != nil {
		r.logger.Warn("stored server list not used", "folder", folder, "reason", journal.Roster)
	}
	r.logger.Info("data folder opened", "folder", folder, "replica", recovered.Replica)
	r.journal = journal
	d.Storage = journal
	d.Rosters = journal
	d.Recovered = &recovered
	return nil
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
