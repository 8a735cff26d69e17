package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// FS is a file system as far as the store needs one. A test replaces it with one that loses power.
type FS interface {
	// List names the files in a folder, or nothing where there is none.
	List(dir string) ([]string, error)
	// Read reads a whole file of at most limit bytes.
	Read(path string, limit int) ([]byte, error)
	// Create makes a file that was not there.
	Create(path string) (File, error)
	// Open opens a file for writing.
	Open(path string) (File, error)
	// SameFile says whether a file is still what its path names.
	SameFile(path string, f File) bool
	// ChangeStamp changes whenever a file does.
	ChangeStamp(path string) string
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the names in a folder durable; it makes the folder where there is none.
	SyncDir(dir string) error
}

// File is an open file.
type File interface {
	WriteAt(p []byte, at int64) (int, error)
	Sync() error
	Close() error
}

// OS is the machine's own file system.
type OS struct{}

// List implements FS.
func (OS) List(dir string) (names []string, err error) {
	entries, err := os.ReadDir(dir)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	for _, e := range entries {
		names = append(names, e.Name())
	}
	return names, err
}

// Read implements FS.
func (OS) Read(path string, limit int) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	raw, err := io.ReadAll(io.LimitReader(f, int64(limit)+1))
	if err == nil && len(raw) > limit {
		err = fmt.Errorf("%s has more than %d bytes", path, limit)
	}
	return raw, err
}

// Create implements FS.
func (OS) Create(path string) (File, error) {
	return open(path, os.O_RDWR|os.O_CREATE|os.O_EXCL)
}

// Open implements FS.
func (OS) Open(path string) (File, error) { return open(path, os.O_RDWR) }

func open(path string, flag int) (File, error) {
	f, err := os.OpenFile(path, flag, 0o600)
	if err != nil {
		return nil, err // a nil *os.File is no nil File
	}
	return f, nil
}

// SameFile implements FS.
func (OS) SameFile(path string, f File) bool {
	named, err := os.Stat(path)
	if err != nil {
		return false
	}
	own, err := f.(*os.File).Stat()
	return err == nil && os.SameFile(named, own)
}

// ChangeStamp implements FS.
func (OS) ChangeStamp(path string) string {
	info, err := os.Stat(path)
	if err != nil {
		return ""
	}
	return fmt.Sprint(info.Size(), info.ModTime().UnixNano())
}

// Rename implements FS.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove implements FS.
func (OS) Remove(path string) error { return os.Remove(path) }

// SyncDir implements FS.
func (OS) SyncDir(dir string) error {
	d, err := os.Open(dir)
	if errors.Is(err, fs.ErrNotExist) {
		if err = os.MkdirAll(dir, 0o700); err != nil {
			return err
		}
		if err = (OS{}).SyncDir(filepath.Dir(dir)); err != nil {
			return err
		}
		d, err = os.Open(dir)
	}
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
