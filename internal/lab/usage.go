package lab

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// sample measures what the running processes use and notes in the history where they exceed their limits.
func (p *processes) sample() {
	p.mu.Lock()
	live := make([]*process, 0, len(p.all))
	for _, q := range p.all {
		select {
		case <-q.ended:
		default:
			live = append(live, q)
		}
	}
	p.mu.Unlock()
	sum := 0.0
	defer func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.maxTotalRSS = max(p.maxTotalRSS, sum)
	}()
	for _, q := range live {
		rss, fds, ok := processUsage(q.cmd.Process.Pid)
		if !ok {
			continue // it has just exited
		}
		sum += rss
		p.mu.Lock()
		p.maxRSS, p.maxFDs = max(p.maxRSS, rss), max(p.maxFDs, fds)
		if now := diskBytesWritten(q.cmd.Process.Pid); now > q.bytesWritten {
			p.bytesWritten, q.bytesWritten = p.bytesWritten+now-q.bytesWritten, now
		}
		p.mu.Unlock()
		if rss > float64(p.scenario.Fleet.MemoryMB) {
			p.history.addFinding(&p.history.exceededLimits, "at %v sidecar %s uses %.1f MiB, limit %d", p.clock.now(), sidecarName(q.sidecar), rss, p.scenario.Fleet.MemoryMB)
		}
		if fds > p.scenario.Fleet.Sockets {
			p.history.addFinding(&p.history.exceededLimits, "at %v sidecar %s uses %d descriptors, limit %d", p.clock.now(), sidecarName(q.sidecar), fds, p.scenario.Fleet.Sockets)
		}
	}
}

// processUsage returns a process's resident memory in MiB and its number of descriptors. ok is false if it has ended.
func processUsage(pid int) (rss float64, fds int, ok bool) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, false
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0, 0, false
	}
	pages, err := strconv.ParseFloat(fields[1], 64)
	if err != nil {
		return 0, 0, false
	}
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	return pages * float64(os.Getpagesize()) / (1 << 20), len(names), err == nil
}

// diskBytesWritten returns how many bytes a process has caused to be written to disks, or 0 if the kernel doesn't
// report it.
func diskBytesWritten(pid int) (bytes float64) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(raw)) {
		if value, ok := strings.CutPrefix(line, "write_bytes: "); ok {
			bytes, _ = strconv.ParseFloat(strings.TrimSpace(value), 64) // 0 means unknown
		}
	}
	return bytes
}
