// Package storer persists the records of the replicated log in a data folder.
//
// The folder holds the file replica-id, a lock file, the files written by SaveFile, and for
// each generation a segment and, except for the first generation, a snapshot. A segment is a
// sequence of frames. Each frame holds the records of one Append and is synced before Append
// returns. Compact starts a new generation: it writes a segment with the records that follow
// the snapshot, then the snapshot, atomically, and then removes the files of earlier
// generations.
//
// Open removes a torn frame at the end of the last segment: its write did not
// finish, so it was never reported as synced. Any other damage is returned as a
// *CorruptError with the file and the offset; no damaged data is skipped. After a
// failed write or sync the Storer accepts no more writes.
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

// File is an open segment file.
type File interface {
	io.WriteCloser
	Sync() error
}

// Parameters holds the settings of a Storer.
type Parameters struct {
	// Folder is the data folder; it is created if it does not exist.
	Folder string
	// WrapSegment, if set, wraps each segment file that the Storer writes to.
	WrapSegment func(File) File
	// RetryWrite, if set, is called with the cause when a write of records or of a snapshot fails,
	// for example on a full disk. If it returns true, the partial frame or file is removed and the
	// write is retried; otherwise the write fails. A failed sync of a segment is never retried,
	// since it is unknown which data has reached the disk; a snapshot is written again as a new file.
	RetryWrite func(cause error) bool
}

// Contents holds the data found in a data folder when it was opened.
type Contents struct {
	// ReplicaID identifies the folder; it is chosen at random when the folder is created.
	ReplicaID identifier.ReplicaID
	// Snapshot is the last snapshot, or nil if there is none.
	Snapshot []byte
	// Records are the records that follow the snapshot, in order.
	Records [][]byte
	// RemovedBytes is the size of the torn frame that was removed; 0 if there was none.
	RemovedBytes identifier.Bytes
}

// OperationError reports a failed file operation. After a failed write or sync of a segment or
// snapshot it is unknown whether the data is on the disk, so the Storer accepts no more writes.
type OperationError struct {
	Operation string
	Cause     error
}

// Error returns a message with the operation and the cause.
func (e *OperationError) Error() string {
	return fmt.Sprintf("storer: %s failed: %v", e.Operation, e.Cause)
}

// Unwrap returns the cause.
func (e *OperationError) Unwrap() error { return e.Cause }

// LockedError reports that another process holds the lock on the data folder.
type LockedError struct {
	Folder string
}

// Error returns a message with the folder.
func (e *LockedError) Error() string {
	return fmt.Sprintf("storer: data folder %s is in use by another process", e.Folder)
}

// Storer reads and writes one data folder. It is not safe for concurrent use.
type Storer struct {
	folder      string
	wrapSegment func(File) File
	retryWrite  func(cause error) bool
	lock        *os.File
	generation  generation
	segment     File
	offset      int64
	failure     error
}

// Open locks the folder, removes a torn frame from the last segment, and returns the
// folder's contents. Its errors are *CorruptError, *LockedError and *OperationError.
func Open(p Parameters) (*Storer, Contents, error) {
	if err := os.MkdirAll(p.Folder, folderPermission); err != nil {
		return nil, Contents{}, &OperationError{"create data folder", err}
	}
	s := &Storer{folder: p.Folder, wrapSegment: p.WrapSegment, retryWrite: p.RetryWrite}
	if s.wrapSegment == nil {
		s.wrapSegment = func(f File) File { return f }
	}
	if err := s.lockFolder(); err != nil {
		return nil, Contents{}, err
	}
	contents, err := s.load()
	if err != nil {
		return nil, Contents{}, errors.Join(err, s.Close())
	}
	return s, contents, nil
}

func (s *Storer) lockFolder() error {
	f, err := os.OpenFile(filepath.Join(s.folder, lockName), os.O_CREATE|os.O_RDWR, filePermission)
	if err != nil {
		return &OperationError{"open lock file", err}
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		f.Close()
		if errors.Is(err, syscall.EWOULDBLOCK) {
			return &LockedError{s.folder}
		}
		return &OperationError{"lock data folder", err}
	}
	s.lock = f
	return nil
}

// Append writes the records in one frame; they are synced when it returns nil.
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

// writeFrame writes a frame at the end of the segment. It retries a failed write as long as
// Parameters.RetryWrite returns true.
func (s *Storer) writeFrame(frame []byte) error {
	for {
		_, err := s.segment.Write(frame)
		if err == nil || s.retryWrite == nil || !s.retryWrite(err) {
			return err
		}
		if err := os.Truncate(s.path(segmentName(s.generation)), s.offset); err != nil {
			return err
		}
	}
}

// retry calls a write that can be repeated as a whole until it succeeds or Parameters.RetryWrite
// returns false.
func (s *Storer) retry(write func() error) error {
	for {
		err := write()
		if err == nil || s.retryWrite == nil || !s.retryWrite(err) {
			return err
		}
	}
}

// replaceFile writes a file with a new content under a temporary name in the data folder, syncs it
// and renames it.
func (s *Storer) replaceFile(name string, content []byte) error {
	return renameio.WriteFile(s.path(name), content, filePermission, renameio.WithTempDir(s.folder))
}

// Compact replaces all stored data with a snapshot and the records that follow it. Both are
// synced when it returns nil.
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
	content := encodeSnapshot(s.generation, snapshot)
	if err := s.retry(func() error { return s.replaceFile(snapshotName(s.generation), content) }); err != nil {
		return s.fail("write snapshot", err)
	}
	if err := s.syncFolder(); err != nil {
		return err
	}
	return s.removeBefore(s.generation)
}

// Size returns the total size of all files in the data folder.
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

// Close closes the segment and releases the lock on the folder.
func (s *Storer) Close() error {
	var segmentErr error
	if s.segment != nil {
		segmentErr = s.segment.Close()
		s.segment = nil
	}
	return errors.Join(segmentErr, s.lock.Close())
}

// fail records the first failure, which all later writes return.
func (s *Storer) fail(operation string, cause error) error {
	if s.failure == nil {
		s.failure = &OperationError{operation, cause}
	}
	return s.failure
}

// openSegment opens the segment of the current generation for writing at the offset.
func (s *Storer) openSegment(offset int64, flags int) error {
	var f *os.File
	openFile := func() (err error) {
		f, err = os.OpenFile(s.path(segmentName(s.generation)), os.O_CREATE|os.O_WRONLY|os.O_APPEND|flags, filePermission)
		return err
	}
	if err := s.retry(openFile); err != nil {
		return s.fail("open segment", err)
	}
	s.segment, s.offset = s.wrapSegment(f), offset
	return s.syncFolder()
}

// syncFolder syncs the directory, so that created and renamed files survive a power loss.
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
