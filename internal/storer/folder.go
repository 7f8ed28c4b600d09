package storer

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// generation is the number of a snapshot and of the segment that continues it. The first
// segment, without a snapshot, is generation 1.
type generation uint64

const (
	lockName       = "lock"
	replicaIDName  = "replica-id"
	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
)

func segmentName(g generation) string  { return fmt.Sprintf("%s%016d", segmentPrefix, g) }
func snapshotName(g generation) string { return fmt.Sprintf("%s%016d", snapshotPrefix, g) }

// load reads the folder, creates the first files if it is empty, and opens the last segment.
func (s *Storer) load() (Contents, error) {
	segments, snapshots, err := s.listGenerations()
	if err != nil {
		return Contents{}, err
	}
	var c Contents
	if c.ReplicaID, err = s.loadReplicaID(len(segments)+len(snapshots) == 0); err != nil {
		return Contents{}, err
	}
	if len(snapshots) > 0 {
		first := snapshots[len(snapshots)-1]
		if c.Snapshot, err = s.loadSnapshot(first); err != nil {
			return Contents{}, err
		}
		segments = slices.DeleteFunc(segments, func(g generation) bool { return g < first })
		if len(segments) == 0 || segments[0] != first {
			return Contents{}, &CorruptError{s.path(segmentName(first)), 0, "the snapshot's segment is missing"}
		}
	}
	return s.loadSegments(c, segments)
}

// loadSegments reads the segments in order. Only the last one may end in a torn frame,
// which is removed.
func (s *Storer) loadSegments(c Contents, segments []generation) (Contents, error) {
	s.generation = 1
	var offset int64
	for i, g := range segments {
		if i > 0 && g != segments[i-1]+1 {
			return Contents{}, &CorruptError{s.path(segmentName(segments[i-1] + 1)), 0, "the segment is missing"}
		}
		file := s.path(segmentName(g))
		data, err := os.ReadFile(file)
		if err != nil {
			return Contents{}, &OperationError{"read segment", err}
		}
		var records [][]byte
		records, offset, err = fileContent{g, file, data}.scan()
		if err != nil {
			return Contents{}, err
		}
		c.Records = append(c.Records, records...)
		c.RemovedBytes = identifier.Bytes(int64(len(data)) - offset)
		if c.RemovedBytes > 0 && i < len(segments)-1 {
			return Contents{}, &CorruptError{file, offset, "torn frame in a segment that is not the last"}
		}
		s.generation = g
	}
	if c.RemovedBytes > 0 {
		if err := s.repair(offset); err != nil {
			return Contents{}, err
		}
	}
	if err := s.openSegment(offset, 0); err != nil {
		return Contents{}, err
	}
	return c, nil
}

// repair truncates the last segment at the offset and syncs it.
func (s *Storer) repair(offset int64) error {
	f, err := os.OpenFile(s.path(segmentName(s.generation)), os.O_WRONLY, filePermission)
	if err != nil {
		return &OperationError{"open segment for repair", err}
	}
	if err := errors.Join(f.Truncate(offset), f.Sync(), f.Close()); err != nil {
		return &OperationError{"repair segment", err}
	}
	return nil
}

func (s *Storer) loadSnapshot(g generation) ([]byte, error) {
	file := s.path(snapshotName(g))
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &OperationError{"read snapshot", err}
	}
	return decodeSnapshot(fileContent{g, file, data})
}

// listGenerations returns the generations of the segments and of the snapshots in
// ascending order, and removes temporary files.
func (s *Storer) listGenerations() (segments, snapshots []generation, err error) {
	files, err := os.ReadDir(s.folder)
	if err != nil {
		return nil, nil, &OperationError{"read data folder", err}
	}
	for _, f := range files {
		name := f.Name()
		switch {
		case strings.HasPrefix(name, "."):
			if err := os.Remove(s.path(name)); err != nil {
				return nil, nil, &OperationError{"remove temporary file", err}
			}
		case strings.HasPrefix(name, segmentPrefix):
			if segments, err = s.appendGeneration(segments, name, segmentPrefix); err != nil {
				return nil, nil, err
			}
		case strings.HasPrefix(name, snapshotPrefix):
			if snapshots, err = s.appendGeneration(snapshots, name, snapshotPrefix); err != nil {
				return nil, nil, err
			}
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	return segments, snapshots, nil
}

func (s *Storer) appendGeneration(list []generation, name, prefix string) ([]generation, error) {
	number, err := strconv.ParseUint(strings.TrimPrefix(name, prefix), 10, 64)
	if err != nil {
		return nil, &CorruptError{s.path(name), 0, "the file name has no generation number"}
	}
	return append(list, generation(number)), nil
}

// removeBefore removes the segments and snapshots of all generations before g.
func (s *Storer) removeBefore(g generation) error {
	segments, snapshots, err := s.listGenerations()
	if err != nil {
		return s.fail("list data folder", err)
	}
	var names []string
	for _, x := range segments {
		if x < g {
			names = append(names, segmentName(x))
		}
	}
	for _, x := range snapshots {
		if x < g {
			names = append(names, snapshotName(x))
		}
	}
	for _, n := range names {
		if err := os.Remove(s.path(n)); err != nil {
			return s.fail("remove file of an earlier generation", err)
		}
	}
	return nil
}

// loadReplicaID returns the replica ID of the folder. An empty folder gets a new ID, which
// is synced before anything else is written.
func (s *Storer) loadReplicaID(empty bool) (identifier.ReplicaID, error) {
	file := s.path(replicaIDName)
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		if !empty {
			return 0, &CorruptError{file, 0, "the file is missing"}
		}
		return s.createReplicaID()
	}
	if err != nil {
		return 0, &OperationError{"read replica ID", err}
	}
	content, reason := decodeSnapshot(fileContent{0, file, data})
	if reason != nil {
		return 0, reason
	}
	id, err := strconv.ParseUint(string(content), 16, 64)
	if err != nil || id == 0 {
		return 0, &CorruptError{file, 0, "the content is not a replica ID"}
	}
	return identifier.ReplicaID(id), nil
}

func (s *Storer) createReplicaID() (identifier.ReplicaID, error) {
	var seed [8]byte
	rand.Read(seed[:])
	id := binary.BigEndian.Uint64(seed[:]) | 1
	content := []byte(strconv.FormatUint(id, 16))
	if err := s.replaceFile(replicaIDName, encodeSnapshot(0, content)); err != nil {
		return 0, &OperationError{"write replica ID", err}
	}
	return identifier.ReplicaID(id), s.syncFolder()
}
