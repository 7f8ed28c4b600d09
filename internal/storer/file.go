package storer

import (
	"errors"
	"io/fs"
	"os"
)

// SaveFile writes an auxiliary file to the data folder and replaces an earlier one of the
// same name. The file is not part of the log: a failure does not affect the log, and after
// a power loss the folder may still hold the earlier file.
func (s *Storer) SaveFile(name string, data []byte) error {
	if err := s.replaceFile(name, encodeSnapshot(0, data)); err != nil {
		return &OperationError{"write " + name, err}
	}
	f, err := os.Open(s.folder)
	if err != nil {
		return &OperationError{"open data folder", err}
	}
	if err := errors.Join(f.Sync(), f.Close()); err != nil {
		return &OperationError{"sync data folder", err}
	}
	return nil
}

// LoadFile returns the data that SaveFile last wrote under the name, or nil if there is
// no such file. It returns a *CorruptError if the file is damaged.
func (s *Storer) LoadFile(name string) ([]byte, error) {
	file := s.path(name)
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, &OperationError{"read " + name, err}
	}
	return decodeSnapshot(fileContent{0, file, data})
}
