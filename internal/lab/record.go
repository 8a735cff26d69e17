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

// processRecord is a run's record of its processes in a file: the lab's own, then those that it started. Each is recorded
// by process id and start time, so that a reused process id is never taken for the recorded process.
type processRecord struct {
	mu   sync.Mutex
	file *os.File
	dir  string // the run's folder
}

const (
	recordFile  = "processes"
	newDirGrace = time.Minute // a folder with an empty record that is older than this belongs to a lab that was killed
)

// runsDir returns the folder in which this user's labs keep their run folders.
func runsDir() string { return filepath.Join(os.TempDir(), fmt.Sprintf("fleetlab-%d", os.Getuid())) }

// newProcessRecord creates a folder for a run and a record in it, and adds the lab itself as the first process.
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

// add records a process.
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

// close removes the run's folder. All processes must have ended.
func (r *processRecord) close() error {
	r.file.Close()
	return os.RemoveAll(r.dir)
}

// processStartTime returns the start time of a process in clock ticks since the kernel's boot, as /proc shows it.
func processStartTime(pid int) (string, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return "", err
	}
	fields := strings.Fields(string(raw)[strings.LastIndex(string(raw), ") ")+1:]) // the program name before it may contain spaces and brackets
	const startField = 19                                                          // field 22 of proc(5); the first two precede the bracket
	if len(fields) <= startField {
		return "", fmt.Errorf("/proc/%d/stat has fewer fields than expected", pid)
	}
	return fields[startField], nil
}

// Sweep ends the processes and removes the folders that killed labs left behind, according to their records only. It
// returns a description of each process that it ended and each folder that it removed.
func Sweep() (swept []string, err error) {
	runs, err := filepath.Glob(filepath.Join(runsDir(), "run-*"))
	if err != nil {
		return nil, err
	}
	for _, dir := range runs {
		removed, ended, failed := sweepRun(dir)
		err = errors.Join(err, failed)
		if removed {
			swept = append(append(swept, ended...), dir)
		}
	}
	return swept, err
}

// sweepRun ends the processes and removes the folder of one run, unless its lab still runs. removed reports whether it did;
// swept describes the processes that it ended.
func sweepRun(dir string) (removed bool, swept []string, err error) {
	info, err := os.Stat(dir)
	if err != nil {
		return false, nil, nil // another lab has just removed it
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
			return false, nil, fmt.Errorf("%s: %q is not a process id and start time", f.Name(), lines.Text())
		}
		now, err := processStartTime(pid)
		alive := err == nil && now == start
		switch {
		case alive && first:
			return false, nil, nil // its lab still runs
		case alive:
			if err := syscall.Kill(pid, syscall.SIGKILL); err != nil {
				return false, nil, err
			}
			swept = append(swept, fmt.Sprintf("process %d", pid))
		}
	}
	if first && time.Since(info.ModTime()) < newDirGrace {
		return false, nil, nil // another lab may be creating it
	}
	return true, swept, os.RemoveAll(dir)
}
