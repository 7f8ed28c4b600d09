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

	"github.com/google/renameio/v2"

	"github.com/lagooncleat/lagooncleat/pkg/identifier"
)

// generation numbers a snapshot and the segment that follows it.
type generation uint64

const (
	lockName       = "lock"
	replicaName    = "replica-id"
	segmentPrefix  = "segment-"
	snapshotPrefix = "snapshot-"
)

func segmentName(g generation) string  { return fmt.Sprintf("%s%016d", segmentPrefix, g) }
func snapshotName(g generation) string { return fmt.Sprintf("%s%016d", snapshotPrefix, g) }

// load reads the folder, or makes its first files, and opens the last segment.
func (s *Storer) load() (Contents, error) {
	segments, snapshots, err := s.list()
	if err != nil {
		return Contents{}, err
	}
	var c Contents
	if c.Replica, err = s.loadReplica(len(segments)+len(snapshots) == 0); err != nil {
		return Contents{}, err
	}
	if len(snapshots) > 0 {
		first := snapshots[len(snapshots)-1]
		if c.Snapshot, err = s.loadSnapshot(first); err != nil {
			return Contents{}, err
		}
		segments = slices.DeleteFunc(segments, func(g generation) bool { return g < first })
		if len(segments) == 0 || segments[0] != first {
			return Contents{}, &CorruptError{s.path(segmentName(first)), 0, "the segment of the snapshot is missing"}
		}
	}
	return s.loadSegments(c, segments)
}

// loadSegments reads the segments in order; only the last may need repair.
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
			return Contents{}, &FailedError{"read segment", err}
		}
		var records [][]byte
		records, offset, err = segment{g, file, data}.scan()
		if err != nil {
			return Contents{}, err
		}
		c.Records = append(c.Records, records...)
		c.Repaired = identifier.Bytes(int64(len(data)) - offset)
		if c.Repaired > 0 && i < len(segments)-1 {
			return Contents{}, &CorruptError{file, offset, "a frame is cut short and a segment follows"}
		}
		s.generation = g
	}
	if c.Repaired > 0 {
		if err := s.repair(offset); err != nil {
			return Contents{}, err
		}
	}
	if err := s.openSegment(offset, 0); err != nil {
		return Contents{}, err
	}
	return c, nil
}

// repair cuts the last segment at the offset and syncs it.
func (s *Storer) repair(offset int64) error {
	f, err := os.OpenFile(s.path(segmentName(s.generation)), os.O_WRONLY, filePermission)
	if err != nil {
		return &FailedError{"open segment for repair", err}
	}
	if err := errors.Join(f.Truncate(offset), f.Sync(), f.Close()); err != nil {
		return &FailedError{"repair segment", err}
	}
	return nil
}

func (s *Storer) loadSnapshot(g generation) ([]byte, error) {
	file := s.path(snapshotName(g))
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, &FailedError{"read snapshot", err}
	}
	return decodeSnapshot(segment{g, file, data})
}

// list returns the generations of segments and of snapshots, in order, and
// removes temporary files.
func (s *Storer) list() (segments, snapshots []generation, err error) {
	files, err := os.ReadDir(s.folder)
	if err != nil {
		return nil, nil, &FailedError{"read data folder", err}
	}
	for _, f := range files {
		name := f.Name()
		switch {
		case strings.HasPrefix(name, "."):
			if err := os.Remove(s.path(name)); err != nil {
				return nil, nil, &FailedError{"remove temporary file", err}
			}
		case strings.HasPrefix(name, segmentPrefix):
			if segments, err = s.addGeneration(segments, name, segmentPrefix); err != nil {
				return nil, nil, err
			}
		case strings.HasPrefix(name, snapshotPrefix):
			if snapshots, err = s.addGeneration(snapshots, name, snapshotPrefix); err != nil {
				return nil, nil, err
			}
		}
	}
	slices.Sort(segments)
	slices.Sort(snapshots)
	return segments, snapshots, nil
}

func (s *Storer) addGeneration(list []generation, name, prefix string) ([]generation, error) {
	number, err := strconv.ParseUint(strings.TrimPrefix(name, prefix), 10, 64)
	if err != nil {
		return nil, &CorruptError{s.path(name), 0, "the name holds no generation"}
	}
	return append(list, generation(number)), nil
}

// removeBefore removes the files of earlier generations.
func (s *Storer) removeBefore(g generation) error {
	segments, snapshots, err := s.list()
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
			return s.fail("remove old file", err)
		}
	}
	return nil
}

// loadReplica reads the folder's identity. A folder without files gets a new
// one; it is synced before anything else is stored.
func (s *Storer) loadReplica(empty bool) (identifier.ReplicaID, error) {
	file := s.path(replicaName)
	data, err := os.ReadFile(file)
	if errors.Is(err, fs.ErrNotExist) {
		if !empty {
			return 0, &CorruptError{file, 0, "the file is missing"}
		}
		return s.makeReplica(file)
	}
	if err != nil {
		return 0, &FailedError{"read replica id", err}
	}
	content, reason := decodeSnapshot(segment{0, file, data})
	if reason != nil {
		return 0, reason
	}
	id, err := strconv.ParseUint(string(content), 16, 64)
	if err != nil || id == 0 {
		return 0, &CorruptError{file, 0, "not a replica id"}
	}
	return identifier.ReplicaID(id), nil
}

func (s *Storer) makeReplica(file string) (identifier.ReplicaID, error) {
	var seed [8]byte
	rand.Read(seed[:])
	id := binary.BigEndian.Uint64(seed[:]) | 1
	content := []byte(strconv.FormatUint(id, 16))
	if err := renameio.WriteFile(file, encodeSnapshot(0, content), filePermission); err != nil {
		return 0, &FailedError{"write replica id", err}
	}
	return identifier.ReplicaID(id), s.syncFolder()
}
