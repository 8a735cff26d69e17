package lab

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"arrowgw/internal/world"
)

// stateDir returns the folder that a sidecar keeps its state in.
func (p *processes) stateDir(sidecar int) string {
	return filepath.Join(p.dir, "state", strconv.Itoa(sidecar))
}

// writeConfig writes the configuration for the process of a sidecar with the given ordinal, and returns its path.
func (p *processes) writeConfig(sidecar, ordinal int) (path string, err error) {
	folder := filepath.Join(p.dir, "config")
	if err := errors.Join(os.MkdirAll(p.stateDir(sidecar), 0o755), os.MkdirAll(folder, 0o755)); err != nil {
		return "", err
	}
	if os.Getuid() == 0 {
		if err := os.Chown(p.stateDir(sidecar), unprivilegedUser, unprivilegedUser); err != nil {
			return "", err
		}
	}
	s := p.scenario
	file := map[string]any{
		"name": sidecarName(sidecar), "listen": p.net.address(sidecar, clientPort), "discovery": p.roster.address(sidecar),
		"console": p.net.address(sidecar, consolePort+ordinal%consolePorts),
		"seed":    strconv.FormatUint(rand.New(rand.NewPCG(p.seed, 5+uint64(sidecar)<<16+uint64(ordinal)<<40)).Uint64(), 16),
		"limits":  map[string]any{"cores": 1, "memory_mb": s.Fleet.MemoryMB, "sockets": s.Fleet.Sockets},
	}
	// Hollow sidecars ask discovery instead, as thousands of files with long lists would be expensive.
	if sidecar < s.Fleet.Sidecars {
		file["known"] = p.roster.listing(sidecar, firstVersion, true, world.NewServerList(s.Fleet.Servers, firstVersion).Listed())
	}
	file["settings"] = p.settings(sidecar)
	routes := p.routes(sidecar)
	if s.Fleet.File != "" || len(routes) > 0 {
		text := s.Fleet.File + "\n[routes]\n"
		for name, address := range routes {
			text += fmt.Sprintf("%q = %q\n", name, address)
		}
		text = strings.NewReplacer(
			"{name}", sidecarName(sidecar), "{host}", p.net.host(sidecar), "{peer}", p.net.address(sidecar, peerPort), "{rules}", p.rulesFile(sidecar),
			"{seed0}", p.seedAddress(0), "{seed1}", p.seedAddress(1), "{seed2}", p.seedAddress(2),
		).Replace(text)
		fleet := filepath.Join(folder, fmt.Sprintf("%d.toml", sidecar))
		if err := os.WriteFile(fleet, []byte(text), 0o644); err != nil {
			return "", err
		}
		file["fleet"] = fleet
	}
	raw, err := json.Marshal(file)
	if err != nil {
		return "", err
	}
	// Each process has its own file, so that writing it does not affect the previous process.
	path = filepath.Join(folder, fmt.Sprintf("%d-%d.json", sidecar, ordinal))
	return path, replaceFile(path, raw)
}

// replaceFile puts a file in the place of another, so that a process that reads it at that moment sees one of them whole.
func replaceFile(path string, raw []byte) error {
	next := path + ".next"
	if err := os.WriteFile(next, raw, 0o644); err != nil {
		return err
	}
	return os.Rename(next, path)
}

// rulesFile returns the path of the file from which a sidecar reads the rule set to push.
func (p *processes) rulesFile(sidecar int) string {
	return filepath.Join(p.dir, "config", fmt.Sprintf("%d.rules", sidecar))
}

// seedAddress returns a sidecar's name and peer address in the form of a seed that needs no route.
func (p *processes) seedAddress(sidecar int) string {
	return sidecarName(sidecar) + "/" + p.net.address(sidecar, peerPort)
}

// settings returns the settings object of the platform's configuration.
func (p *processes) settings(sidecar int) map[string]any {
	s := p.scenario
	var zones []string
	for z := range s.Fleet.Zones {
		zones = append(zones, zoneName(z))
	}
	ms := func(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
	var classes, orgs []any
	mean := (&world.LoadSpec{Classes: s.classes()}).MeanWork().Seconds()
	for _, c := range s.classes() {
		semantics := map[world.Idempotency]string{world.Safe: "free", world.Keyed: "guarded", world.Unsafe: "single_shot"}[c.Idempotency]
		classes = append(classes, map[string]any{
			"name": c.Name, "aim_ms": ms(c.Aim), "hard_limit_ms": ms(c.Deadline), "semantics": semantics, "dedup_scope": "zone",
			"window_ms": ms(c.DedupWindow), "worth": c.Worth, "late_share": 0, "stream": false,
		})
	}
	for _, t := range tenants {
		orgs = append(orgs, map[string]any{
			"name": t.name, "share": t.share, "quota_per_s": t.share * s.Fleet.Quota * s.capacity() / mean,
		})
	}
	return map[string]any{
		"balancers": cmp.Or(s.Fleet.StatedSidecars, s.totalSidecars()), "me": sidecar, "zone": s.zoneOf(sidecar), "zones": zones, "period_ms": 2,
		"discovery": "ask", "weights": "nominal", "worth_by": "work",
		"caps": map[string]any{
			"conn_idle_ms": ms(serverIdleTimeout), "dial_timeout_ms": 75, "may_cancel": true, "most_tries": 6, "max_open": 26451,
			"max_retry_after_ms": 800, "probes": true, "retry_after": true, "second_copies": true, "peers": s.Fleet.Mesh,
		},
		"charges": map[string]any{"cross_zone": 0.03}, "client_habits": map[string]any{"marks_retry": true},
		"classes": classes, "orgs": orgs,
		"rules": map[string]any{
			"answer_slack_ms": 8, "ask_within_ms": 10_000, "cold_from": s.Server.ColdCapacityShare, "cold_ms": ms(s.Server.WarmUpTime.Std()),
			"fall_multiple": s.Server.ColdCrashFactor, "overload_for_ms": ms(s.Server.ColdCrashWindow.Std()), "stop_sending_within_ms": ms(drainGrace),
		},
		"telemetry": map[string]any{"how": "silent", "columns": []string{}},
	}
}

// sidecarName returns a sidecar's name in configurations and findings.
func sidecarName(i int) string { return fmt.Sprintf("n%d", i) }
