package storer

import (
	"errors"
	"io/fs"
	"os"

	"github.com/google/renameio/v2"
)

// SaveAside stores a file beside the log, in place of the one before. It is no part of
// the log: a failure leaves the log as it is, and a power loss may leave the older file.
func (s *Storer) SaveAside(name string, data []byte) error {
	if err := renameio.WriteFile(s.path(name), encodeSnapshot(0, data), filePermission); err != nil {
		return &FailedError{"write " + name, err}
	}
	f, err := os.Open(s.folder)
	if err != nil {
		return &FailedError{"open data folder", err}
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return &FailedError{"sync data folder", err}
	}
	return nil
}

// LoadAside returns what SaveAside stored last under the name, or nil when there is
// none. It returns a *CorruptError for a damaged file.
func (s *Storer) LoadAside(name string) ([]byte, error) {
	file := s.path(name)
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &FailedError{"read " + name, err}
	}
	return decodeSnapshot(segment{0, file, data})
}
