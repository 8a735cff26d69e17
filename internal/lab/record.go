package lab

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// processRecord is a run's own record of its processes: the lab's, then the ones it started, each by its process id and the
// moment of its start, so that a number that has gone to another process since is never taken for the old one.
type processRecord struct {
	mu   sync.Mutex
	file *os.File
	dir  string // the run's folder
}

const (
	recordFile  = "processes"
	newDirGrace = time.Minute // a folder with no process in its record is older than this when its lab was killed
)

// runsDir is the folder that this user's labs keep their runs in.
func runsDir() string { return filepath.Join(os.TempDir(), fmt.Sprintf("fleetlab-%d", os.Getuid())) }

// newProcessRecord makes a folder for a run, and enters the lab in its record.
func newProcessRecord() (*processRecord, error) {
	if err := os.MkdirAll(runsDir(), 0o755); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp(runsDir(), "run-")
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(dir, 0o755); err != nil { // sidecars may run as another user
		return nil, err
	}
	f, err := os.OpenFile(filepath.Join(dir, recordFile), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	r := &processRecord{file: f, dir: dir}
	return r, r.add(os.Getpid())
}

// add enters a process.
func (r *processRecord) add(pid int) error {
	start, err := processStartTime(pid)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	_, err = fmt.Fprintf(r.file, "%d %s\n", pid, start)
	return err
}

// close removes the run's folder; all processes have ended by then.
func (r *processRecord) close() error {
	r.file.Close()
	return os.RemoveAll(r.dir)
}

// processStartTime is the moment of a process's start, in the kernel's own ticks since its boot.
func processStartTime(pid int) (string, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return "", err
	}
	fields := strings.Fields(string(raw)[strings.LastIndex(string(raw), ") ")+1:]) // the name before it may hold anything
	const startField = 19                                                          // the 22nd of all; the first two are before the bracket
	if len(fields) <= startField {
		return "", fmt.Errorf("/proc/%d/stat can't be read", pid)
	}
	return fields[startField], nil
}

// Sweep removes what labs that were killed have left: processes and folders, by their own records only. It returns
// what it ended or removed.
func Sweep() (swept []string, err error) {
	runs, err := filepath.Glob(filepath.Join(runsDir(), "run-*"))
	if err != nil {
		return nil, err
	}
	for _, dir := range runs {
		gone, more, failed := sweepRun(dir)
		err = errors.Join(err, failed)
		if gone {
			swept = append(append(swept, more...), dir)
		}
	}
	return swept, err
}

// sweepRun removes one run whose lab is gone.
func sweepRun(dir string) (gone bool, swept []string, err error) {
	info, err := os.Stat(dir)
	if err != nil {
		return false, nil, nil // another lab was faster
	}
	f, err := os.Open(filepath.Join(dir, recordFile))
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return false, nil, err
	}
	defer f.Close()
	lines, first := bufio.NewScanner(f), true
	for ; err == nil && lines.Scan(); first = false {
		text, start, _ := strings.Cut(lines.Text(), " ")
		pid, err := strconv.Atoi(text)
		if err != nil || pid <= 1 {
			return false, nil, fmt.Errorf("%s: %q is no process", f.Name(), lines.Text())
		}
		now, err := processStartTime(pid)
		alive := err == nil && now == start
		switch {
		case alive && first:
			return false, nil, nil // that lab is at work
		case alive:
			if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
				return false, nil, err
			}
			swept = append(swept, fmt.Sprintf("process %d", pid))
		}
	}
	if first && time.Since(info.ModTime()) < newDirGrace {
		return false, nil, nil // it is just being made
	}
	return true, swept, os.RemoveAll(dir)
}
