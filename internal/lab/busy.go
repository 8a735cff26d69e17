package lab

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// busyEnv is the environment variable that makes the lab's program keep one core busy for the given time and exit.
const busyEnv = "FLEETLAB_BUSY"

// maxBusyLoops bounds the busy loops that run at once.
const maxBusyLoops = 16

// RunBusyLoop keeps a core busy for a time if the lab started this process for that purpose, and reports whether it
// did. A program that plays scenarios must call it before anything else.
func RunBusyLoop() bool {
	length, err := time.ParseDuration(os.Getenv(busyEnv))
	if err != nil {
		return false
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
	}
	return true
}

// runBusyLoops runs busy loops next to the fleet, each in a process of its own that is started with start, for the
// given time or until ctx ends.
func runBusyLoops(ctx context.Context, start func(*exec.Cmd) error, loops int, length time.Duration) error {
	if loops > maxBusyLoops {
		return fmt.Errorf("%d busy loops: at most %d are allowed", loops, maxBusyLoops)
	}
	program, err := os.Executable()
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	errs := make(chan error, loops)
	for range loops {
		all.Go(func() {
			cmd := exec.CommandContext(ctx, program)
			cmd.Env = append(os.Environ(), busyEnv+"="+length.String())
			cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
			err := start(cmd)
			if err == nil {
				err = cmd.Wait()
			}
			if err != nil && ctx.Err() == nil {
				errs <- err
			}
		})
	}
	all.Wait()
	close(errs)
	return joinErrors(errs)
}
