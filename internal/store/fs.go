package store

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
)

// FS is the part of a file system that the store uses. Tests replace it, for example by one that loses power.
type FS interface {
	// List returns the names of the files in a folder, or none if the folder does not exist.
	List(dir string) ([]string, error)
	// Read reads a whole file. A file of more than limit bytes is an error.
	Read(path string, limit int) ([]byte, error)
	// Create creates a file that must not exist.
	Create(path string) (File, error)
	// Open opens an existing file for writing.
	Open(path string) (File, error)
	// SameFile reports whether path still names f.
	SameFile(path string, f File) bool
	// ChangeStamp returns a text that changes whenever the file changes. It is empty if the file does not exist.
	ChangeStamp(path string) string
	Rename(from, to string) error
	Remove(path string) error
	// SyncDir makes the names in a folder durable. It creates the folder if it does not exist.
	SyncDir(dir string) error
}

// File is an open file.
type File interface {
	WriteAt(p []byte, at int64) (int, error)
	Sync() error
	Close() error
}

// OS is the file system of the operating system.
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
	return openFile(path, os.O_RDWR|os.O_CREATE|os.O_EXCL)
}

// Open implements FS.
func (OS) Open(path string) (File, error) { return openFile(path, os.O_RDWR) }

// openFile opens a file that only its owner may read and write.
func openFile(path string, flag int) (File, error) {
	f, err := os.OpenFile(path, flag, 0o600)
	if err != nil {
		return nil, err // a nil *os.File would not be a nil File
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
