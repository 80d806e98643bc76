package storage

import (
	"bytes"
	"io"
	"maps"
	"math/rand/v2"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
)

// simDisk is a FileSystem in memory that can be full for some operations and lose power. Names
// and data are volatile until they are synced.
type simDisk struct {
	source       *rand.Rand
	files        map[string]*simFile // by path
	durableFiles map[string]*simFile // names that survive a loss of power
	open         int                 // file handles that are not closed

	operations int // operations that need room, since the creation
	fullFrom   int // number of the first operation that is refused; zero if none
	fullTo     int // number of the last operation that is refused
	refuse     refusal
	refused    int // operations refused
	room       int // refuseRoom: bytes that the full disk still takes
}

// refusal is what a full disk refuses.
type refusal int

const (
	refuseData          refusal = iota // data and new files
	refusePartData                     // the same, but the first refused write stores a part of its data
	refuseSync                         // syncs of files and directories; data is stored in memory
	refuseAll                          // all operations that change the disk, except removals
	refuseSyncAndForget                // syncs; the system takes the refused data for stored, so that later syncs skip it
	refuseRoom                         // data beyond the room that is left; a refused write stores what fits
)

func (r refusal) String() string {
	return [...]string{"data", "part of the data", "sync", "all changes", "sync, then forgotten", "data beyond a remainder"}[r]
}

// simFile is the content of one file.
type simFile struct {
	data      []byte
	durable   []byte
	forgotten [2]int // range of data that syncs skip
}

type simHandle struct {
	disk *simDisk
	file *simFile
	path string
}

func newSimDisk(seed uint64) *simDisk {
	return &simDisk{
		source: rand.New(rand.NewPCG(seed, 1)), files: map[string]*simFile{}, durableFiles: map[string]*simFile{},
	}
}

// needsRoom counts an operation and returns ENOSPC if the disk is full for it. first reports
// whether it is the first operation that is refused.
func (d *simDisk) needsRoom(kinds ...refusal) (first bool, err error) {
	d.operations++
	if d.operations < d.fullFrom || d.operations > d.fullTo || !slices.Contains(kinds, d.refuse) {
		return false, nil
	}
	d.refused++
	return d.refused == 1, syscall.ENOSPC
}

func (d *simDisk) Open(path string) (File, error) {
	f, ok := d.files[path]
	if !ok {
		return nil, &os.PathError{Op: "open", Path: path, Err: os.ErrNotExist}
	}
	d.open++
	return &simHandle{d, f, path}, nil
}

func (d *simDisk) Append(path string) (File, error) {
	if d.files[path] == nil {
		if _, err := d.needsRoom(refuseData, refusePartData, refuseAll); err != nil {
			return nil, err
		}
		d.files[path] = &simFile{}
	}
	return d.Open(path)
}

func (d *simDisk) Create(path string) (File, error) {
	if _, err := d.needsRoom(refuseData, refusePartData, refuseAll); err != nil {
		return nil, err
	}
	if f := d.files[path]; f != nil {
		d.room += len(f.data)
		f.data, f.forgotten = nil, [2]int{}
	} else {
		d.files[path] = &simFile{}
	}
	return d.Open(path)
}

// Rewrite needs room like an append, as on a disk that is full for every write.
func (d *simDisk) Rewrite(path string, data []byte, offset int64) error {
	if _, err := d.needsRoom(refuseData, refusePartData, refuseAll); err != nil {
		return err
	}
	f := d.files[path]
	end := int(offset) + len(data)
	f.data = append(append(bytes.Clone(f.data[:offset]), data...), f.data[end:]...)
	if int(offset) <= f.forgotten[0] && f.forgotten[1] <= end {
		f.forgotten = [2]int{}
	}
	return (&simHandle{d, f, path}).Sync()
}

func (d *simDisk) Rename(from, to string) error {
	if _, err := d.needsRoom(refuseAll); err != nil {
		return err
	}
	f, ok := d.files[from]
	if !ok {
		return &os.PathError{Op: "rename", Path: from, Err: os.ErrNotExist}
	}
	delete(d.files, from)
	d.files[to] = f
	return nil
}

func (d *simDisk) RemoveAll(path string) error {
	if f := d.files[path]; f != nil {
		d.room += len(f.data)
	}
	delete(d.files, path)
	return nil
}

func (d *simDisk) List(dir string) ([]string, error) {
	var names []string
	for path := range d.files {
		if filepath.Dir(path) == dir {
			names = append(names, filepath.Base(path))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (d *simDisk) MkdirAll(string) error { return nil }

func (d *simDisk) SyncDir(dir string) error {
	if _, err := d.needsRoom(refuseSync, refuseAll, refuseSyncAndForget); err != nil {
		return err
	}
	inDir := func(path string, _ *simFile) bool { return filepath.Dir(path) == dir }
	maps.DeleteFunc(d.durableFiles, inDir)
	for path, f := range d.files {
		if inDir(path, f) {
			d.durableFiles[path] = f
		}
	}
	return nil
}

func (d *simDisk) Lock(string) (io.Closer, error) { return io.NopCloser(nil), nil }

func (h *simHandle) Write(data []byte) (int, error) {
	first, err := h.disk.needsRoom(refuseData, refusePartData, refuseAll, refuseRoom)
	written := len(data)
	if err != nil {
		written = 0
		switch {
		case first && h.disk.refuse == refusePartData:
			written = h.disk.source.IntN(len(data) + 1)
		case h.disk.refuse == refuseRoom:
			written = min(len(data), h.disk.room)
			h.disk.room -= written
			if written == len(data) {
				err = nil
			}
		}
	}
	h.file.data = append(slices.Clip(h.file.data), data[:written]...)
	return written, err
}

func (h *simHandle) ReadAt(p []byte, offset int64) (int, error) {
	return bytes.NewReader(h.file.data).ReadAt(p, offset)
}

// Sync makes the data durable, and the name of a new file.
func (h *simHandle) Sync() error {
	if _, err := h.disk.needsRoom(refuseSync, refuseAll, refuseSyncAndForget); err != nil {
		if h.disk.refuse == refuseSyncAndForget {
			h.file.forget()
		}
		return err
	}
	h.file.durable = bytes.Clone(h.file.data)
	clear(h.file.durable[h.file.forgotten[0]:h.file.forgotten[1]])
	if h.disk.files[h.path] == h.file && h.disk.durableFiles[h.path] == nil {
		h.disk.durableFiles[h.path] = h.file
	}
	return nil
}

func (h *simHandle) Truncate(size int64) error {
	if _, err := h.disk.needsRoom(refuseAll); err != nil {
		return err
	}
	h.disk.room += len(h.file.data) - int(size)
	h.file.data = bytes.Clone(h.file.data[:size])
	h.file.forgotten[1] = min(h.file.forgotten[1], int(size))
	h.file.forgotten[0] = min(h.file.forgotten[0], h.file.forgotten[1])
	return nil
}

// forget marks the data that is not durable as skipped by later syncs.
func (f *simFile) forget() {
	from := 0
	for from < min(len(f.data), len(f.durable)) && f.data[from] == f.durable[from] {
		from++
	}
	if f.forgotten[0] < f.forgotten[1] {
		from = min(from, f.forgotten[0])
	}
	f.forgotten = [2]int{from, len(f.data)}
}

func (h *simHandle) Size() (int64, error) { return int64(len(h.file.data)), nil }

func (h *simHandle) Close() error {
	h.disk.open--
	return nil
}

// losePower keeps of each unsynced name and each unsynced change of data either the old or the
// new state, or a part of appended data. With keepNothing, all of them are lost.
func (d *simDisk) losePower(keepNothing bool) {
	names := maps.Clone(d.durableFiles)
	if !keepNothing {
		for _, path := range slices.Sorted(maps.Keys(d.files)) {
			if d.durableFiles[path] != d.files[path] && d.source.IntN(2) == 0 {
				names[path] = d.files[path]
			}
		}
		for _, path := range slices.Sorted(maps.Keys(d.durableFiles)) {
			if d.files[path] == nil && d.source.IntN(2) == 0 {
				delete(names, path)
			}
		}
	}
	d.files = map[string]*simFile{}
	for _, path := range slices.Sorted(maps.Keys(names)) {
		f := names[path]
		data := f.durable
		if rest := bytes.TrimPrefix(f.data, f.durable); !keepNothing && strings.HasPrefix(string(f.data), string(f.durable)) {
			data = append(bytes.Clone(data), rest[:d.source.IntN(len(rest)+1)]...)
		}
		d.files[path] = &simFile{data: bytes.Clone(data), durable: bytes.Clone(data)}
	}
	d.durableFiles = maps.Clone(d.files)
}
