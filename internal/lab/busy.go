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

// busyEnv has a lab's program keep one core busy for a time, and end.
const busyEnv = "FLEETLAB_BUSY"

// maxBusyLoops bounds the busy loops that run at a time.
const maxBusyLoops = 16

// RunBusyLoop keeps a core busy where the lab has started this process for that. It says whether it has; a program that plays scenarios
// calls it before anything else.
func RunBusyLoop() bool {
	length, err := time.ParseDuration(os.Getenv(busyEnv))
	if err != nil {
		return false
	}
	for end := time.Now().Add(length); time.Now().Before(end); {
	}
	return true
}

// runBusyLoops runs so many busy loops beside the fleet, each a process of its own that start begins, for a time or until ctx ends.
func runBusyLoops(ctx context.Context, start func(*exec.Cmd) error, loops int, length time.Duration) error {
	if loops > maxBusyLoops {
		return fmt.Errorf("%d busy loops: %d are allowed", loops, maxBusyLoops)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	var all sync.WaitGroup
	errs := make(chan error, loops)
	for range loops {
		all.Go(func() {
			cmd := exec.CommandContext(ctx, self)
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
