// Package storer keeps the records of the replicated log in one data folder.
//
// The folder holds the file replica-id, a lock, and by generation a snapshot and
// a segment. A segment is a sequence of frames; each holds the records of one
// Append and is synced before Append returns. Compact begins a generation: a
// segment with the records that outlive the snapshot, then the snapshot, written
// atomically; then the files of earlier generations are removed.
//
// When the folder is opened, a last frame that was cut short or only partly
// written, which was never reported as synced, is removed. Any other damage is a
// *CorruptError that names file and offset, and nothing is skipped. After a
// failed write or sync the Storer accepts nothing more.
//
// # Usage
//
//	s, contents, err := storer.Open(storer.Parameters{Folder: "data"})
//	if err != nil {
//		return err
//	}
//	defer s.Close()
//	err = s.Append([][]byte{record})
//	err = s.Compact(snapshot, [][]byte{record})
package storer

import (
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/google/renameio/v2"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

const (
	filePermission   = 0o600
	folderPermission = 0o700
)

// File is what a Storer needs of an open segment.
type File interface {
	io.WriteCloser
	Sync() error
}

// Parameters configure a Storer.
type Parameters struct {
	// Folder is the data folder; it is made when it does not exist.
	Folder string
	// Wrap, when set, stands between the Storer and each segment that it writes.
	Wrap func(File) File
	// Wait, when set, is called with the cause when records can't be written, as on a full
	// disk. What was written of them is removed, and they are written again while it returns
	// true. A failed sync is never tried again: what it left on the disk is unknown.
	Wait func(cause error) bool
}

// Contents is what a data folder held when it was opened.
type Contents struct {
	// Replica is the identity of the folder, drawn when it was made.
	Replica identifier.ReplicaID
	// Snapshot is nil when there is none.
	Snapshot []byte
	// Records are those stored since the snapshot, in order.
	Records [][]byte
	// Repaired is how many bytes of a frame that was never synced were removed.
	Repaired identifier.Bytes
}

// FailedError reports a write or sync that failed. Whether the data is on the
// disk is unknown, so the Storer accepts nothing more.
type FailedError struct {
	Operation string
	Cause     error
}

// Error names the operation and its cause.
func (e *FailedError) Error() string {
	return fmt.Sprintf("storer: %s failed: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *FailedError) Unwrap() error { return e.Cause }

// LockedError reports a data folder that another process uses.
type LockedError struct {
	Folder string
}

// Error names the folder.
func (e *LockedError) Error() string {
	return fmt.Sprintf("storer: data folder %s is in use by another process", e.Folder)
}

// Storer writes one data folder. It is not safe for concurrent use.
type Storer struct {
	folder     string
	wrap       func(File) File
	wait       func(cause error) bool
	lock       *os.File
	generation generation
	segment    File
	offset     int64
	failure    error
}

// Open locks the folder, repairs a frame that was never synced, and returns what
// the folder holds. It returns a *CorruptError, *LockedError or *FailedError.
func Open(p Parameters) (*Storer, Contents, error) {
	if err := os.MkdirAll(p.Folder, folderPermission); err != nil {
		return nil, Contents{}, &FailedError{"make data folder", err}
	}
	s := &Storer{folder: p.Folder, wrap: p.Wrap, wait: p.Wait}
	if s.wrap == nil {
		s.wrap = func(f File) File { return f }
	}
	if err := s.takeLock(); err != nil {
		return nil, Contents{}, err
	}
	contents, err := s.load()
	if err != nil {
		return nil, Contents{}, errors.Join(err, s.Close())
	}
	return s, contents, nil
}

func (s *Storer) takeLock() error {
	f, err := os.OpenFile(filepath.Join(s.folder, lockName), os.O_CREATE|os.O_RDWR, filePermission)
	if err != nil {
		return &FailedError{"open lock", err}
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return &LockedError{s.folder}
		}
		return &FailedError{"lock data folder", err}
	}
	s.lock = f
	return nil
}

// Append stores records in one frame; they are synced when it returns nil.
func (s *Storer) Append(records [][]byte) error {
	if s.failure != nil {
		return s.failure
	}
	return s.write(records)
}

func (s *Storer) write(records [][]byte) error {
	frame := encodeFrame(s.generation, s.offset, records)
	if err := s.writeFrame(frame); err != nil {
		return s.fail("write records", err)
	}
	if err := s.segment.Sync(); err != nil {
		return s.fail("sync records", err)
	}
	s.offset += int64(len(frame))
	return nil
}

// writeFrame writes a frame at the end of the segment, again as long as Wait says so.
func (s *Storer) writeFrame(frame []byte) error {
	for {
		_, err := s.segment.Write(frame)
		if err == nil || s.wait == nil || !s.wait(err) {
			return err
		}
		if err := os.Truncate(s.path(segmentName(s.generation)), s.offset); err != nil {
			return err
		}
	}
}

// Compact replaces everything stored by a snapshot and the records that follow
// it; they are synced when it returns nil.
func (s *Storer) Compact(snapshot []byte, tail [][]byte) error {
	if s.failure != nil {
		return s.failure
	}
	if err := s.segment.Close(); err != nil {
		return s.fail("close segment", err)
	}
	s.generation++
	if err := s.openSegment(0, os.O_EXCL); err != nil {
		return err
	}
	if err := s.write(tail); err != nil {
		return err
	}
	file := s.path(snapshotName(s.generation))
	if err := renameio.WriteFile(file, encodeSnapshot(s.generation, snapshot), filePermission); err != nil {
		return s.fail("write snapshot", err)
	}
	if err := s.syncFolder(); err != nil {
		return err
	}
	return s.removeBefore(s.generation)
}

// Size returns the bytes of all files of the data folder.
func (s *Storer) Size() (identifier.Bytes, error) {
	files, err := os.ReadDir(s.folder)
	if err != nil {
		return 0, fmt.Errorf("storer: size: %w", err)
	}
	var size identifier.Bytes
	for _, f := range files {
		info, err := f.Info()
		if err != nil {
			return 0, fmt.Errorf("storer: size: %w", err)
		}
		size += identifier.Bytes(info.Size())
	}
	return size, nil
}

// Close releases the folder.
func (s *Storer) Close() error {
	var segment error
	if s.segment != nil {
		segment = s.segment.Close()
		s.segment = nil
	}
	return errors.Join(segment, s.lock.Close())
}

// fail keeps the first failure, which every later call returns.
func (s *Storer) fail(operation string, cause error) error {
	if s.failure == nil {
		s.failure = &FailedError{operation, cause}
	}
	return s.failure
}

// openSegment opens the segment of the generation for writes at the offset.
func (s *Storer) openSegment(offset int64, flags int) error {
	f, err := os.OpenFile(s.path(segmentName(s.generation)), os.O_CREATE|os.O_WRONLY|os.O_APPEND|flags, filePermission)
	if err != nil {
		return s.fail("open segment", err)
	}
	s.segment, s.offset = s.wrap(f), offset
	return s.syncFolder()
}

// syncFolder makes names of files that were made or renamed last.
func (s *Storer) syncFolder() error {
	f, err := os.Open(s.folder)
	if err != nil {
		return s.fail("open data folder", err)
	}
	defer f.Close()
	if err := f.Sync(); err != nil {
		return s.fail("sync data folder", err)
	}
	return nil
}

func (s *Storer) path(name string) string {
	return filepath.Join(s.folder, name)
}
