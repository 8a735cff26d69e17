package lab

import (
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"arrowgw/internal/world"
)

// resultSchema is the version of the format of result.json.
const resultSchema = 1

// Result is the result of a run, as result.json stores it. Scenario, seed, sizes and program are enough to play the run again.
type Result struct {
	Schema   int                `json:"schema"`
	Scenario string             `json:"scenario"`
	About    string             `json:"about"`
	Seed     uint64             `json:"seed"`
	Sidecars int                `json:"sidecars"`
	Servers  int                `json:"servers"`
	Hollow   int                `json:"hollow,omitempty"`
	Label    string             `json:"label,omitempty"` // name of the program in an experiment
	Commit   string             `json:"commit"`          // git commit of the tree that the lab ran in
	Program  string             `json:"program"`         // digest of the sidecar program
	Began    time.Time          `json:"began"`
	Seconds  float64            `json:"seconds"`
	Late     string             `json:"late,omitempty"` // why measured times are unreliable: the lab ran late; empty: they are reliable
	Verdicts []Verdict          `json:"verdicts"`
	Figures  map[string]float64 `json:"figures"`
	Plan     []string           `json:"plan"`
	Sends    [][]float64        `json:"sends,omitempty"` // attempts that reached each server, second by second
}

// triesName is the file in a result's folder that lists all tries, one JSON object per line, with what servers did with each.
const triesName = "tries.jsonl"

// ResultName is the name of a result's file in its folder.
const ResultName = "result.json"

// Held reports whether no judged invariant was violated.
func (r *Result) Held() bool {
	return !slices.ContainsFunc(r.Verdicts, func(v Verdict) bool { return !v.Held })
}

// result judges the invariants and computes the figures of a run that is over. lab is the processor time that the lab used,
// and length the wall time of the run with its start.
func (r *run) result(o Options, plan []PlannedFault, lab, length time.Duration) *Result {
	s := r.scenario
	res := &Result{
		Schema: resultSchema, Scenario: s.Name, About: s.About, Seed: o.Seed, Sidecars: s.Fleet.Sidecars, Servers: s.Fleet.Servers,
		Commit: treeCommit(), Program: programDigest(o.Program), Began: time.Now().Add(-length).UTC(), Seconds: s.For.Std().Seconds(),
		Late: r.lateness.reason(length), Hollow: s.Fleet.Hollow,
	}
	for _, why := range r.hollow.lateReasons {
		res.Late = strings.TrimPrefix(res.Late+"; "+why, "; ")
	}
	for _, a := range plan {
		res.Plan = append(res.Plan, fmt.Sprintf("%v %s", a.At, a.describe()))
	}
	res.Verdicts = judge(r.history, s, res.Late != "")
	r.fits = r.eligibleTimes(plan)
	res.Figures = r.computeFigures(lab)
	r.addSpreadFigures(plan, res.Figures)
	for _, c := range r.servers.arrivals {
		res.Sends = append(res.Sends, c.values()[:int(s.For.Std()/time.Second)])
	}
	return res
}

// computeFigures computes the figures of a run that is over, by name. lab is the processor time that the lab used.
func (r *run) computeFigures(lab time.Duration) map[string]float64 {
	h, s, k := r.history, r.scenario, r.clients
	f := make(map[string]float64)
	var worthAsked, worthInTime, work, tries float64
	ends := make(map[Outcome]float64)
	for _, a := range h.requests {
		class := k.classes[a.Class]
		worth := class.Worth * a.Work.Seconds()
		worthAsked += worth
		work += a.Work.Seconds()
		tries += float64(a.Tries)
		ends[a.End]++
		if a.End == Served && a.Ended-a.At <= class.Aim {
			worthInTime += worth
		}
	}
	n := max(1, float64(len(h.requests))) // figures per request are divided by it
	f["requests"] = float64(len(h.requests))
	f["worth"] = worthInTime / max(worthAsked, 1e-9)
	for _, o := range []Outcome{Served, Refused, Failed, GaveUp, Broken, Unreachable} {
		f[strings.ReplaceAll(string(o), " ", "_")] = ends[o] / n
	}
	f["client_tries"] = tries / n
	attempts, turnedAway := 0.0, 0.0
	for _, t := range h.tries {
		attempts += float64(len(t.Reached))
		turnedAway += float64(len(t.Reached) - len(arrivalsThatMayHaveRun(t)))
	}
	f["attempts"], f["turned_away"] = attempts/n, turnedAway/n
	all := hdrhistogram.New(1, 60_000_000, 3)
	for i, hist := range k.latency {
		all.Merge(hist)
		f["p99_ms_"+k.classes[i].Name] = float64(hist.ValueAtQuantile(99)) / 1000
	}
	f["p50_ms"], f["p99_ms"] = float64(all.ValueAtQuantile(50))/1000, float64(all.ValueAtQuantile(99))/1000
	workDone, choked := 0.0, 0.0
	r.servers.mu.Lock() // the timers of the servers may still run
	for _, u := range r.servers.all {
		workDone += u.model.WorkDone
		choked += float64(u.model.CongestionCount())
	}
	r.servers.mu.Unlock()
	f["work"], f["choked"] = workDone/max(work, 1e-9), choked
	r.roster.mu.Lock()
	f["discovery_calls"], f["discovery_lines"] = float64(r.roster.calls)/n, float64(r.roster.lines)/n
	f["discovery_failed"] = float64(r.roster.failed)
	r.roster.mu.Unlock()
	r.processes.mu.Lock()
	f["cpu_ms"] = float64(r.processes.cpu.Milliseconds()) / n
	f["rss_mib"], f["descriptors"], f["rss_all_mib"] = r.processes.maxRSS, float64(r.processes.maxFDs), r.processes.maxTotalRSS
	f["written_kib_min"] = r.processes.bytesWritten / 1024 / float64(s.Fleet.Sidecars) / s.For.Std().Minutes()
	r.processes.mu.Unlock()
	f["lab_cpu_ms"] = float64(lab.Milliseconds()) / n
	var used syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &used); err == nil {
		f["lab_rss_mib"] = float64(used.Maxrss) / 1024
	}
	r.lateness.mu.Lock()
	f["lab_late_ms"], f["lab_late_most_ms"] = float64(r.lateness.hist.ValueAtQuantile(99))/1000, float64(r.lateness.hist.Max())/1000
	r.lateness.mu.Unlock()
	if r.mesh != nil {
		r.mesh.addedDelay.mu.Lock()
		f["relay_packets"], f["relay_added_us"] = float64(r.mesh.addedDelay.n), float64(r.mesh.addedDelay.sum.Microseconds())/max(1, float64(r.mesh.addedDelay.n))
		r.mesh.addedDelay.mu.Unlock()
	}
	r.addRestartFigures(f)
	r.addDetectionFigures(f)
	r.hollow.addFigures(f)
	r.addDutyFigures(f)
	if back, ok := r.recoveryTime(); ok {
		f["recovery_s"] = back
	}
	r.addReturnFigures(f)
	f["capacity"], f["use"] = s.capacity(), s.Load.Utilization
	return f
}

// restartSpan is how long after a restart of a sidecar its requests are counted separately.
const restartSpan = 5 * time.Second

// addRestartFigures adds what restarts of sidecars cost: the times from the start of the process until it was ready and
// until a request that was sent after the start was served (medians, in ms), the results of the requests of the following
// restartSpan, and the mean number of attempts that the process made in that time at servers that answered no sidecar.
func (r *run) addRestartFigures(f map[string]float64) {
	var ready, served []float64
	due, inTime, failed, lost := 0.0, 0.0, 0.0, 0.0
	for _, s := range r.history.restarts {
		ready = append(ready, float64((s.to-s.from).Microseconds())/1000)
		first := time.Duration(-1)
		for _, t := range r.history.tries {
			if t.Sidecar == s.sidecar && t.End == Served && t.Sent >= s.from && (first < 0 || t.Ended < first) {
				first = t.Ended
			}
		}
		lost += r.attemptsAtDeadServers(s)
		if first >= 0 {
			served = append(served, float64((first-s.from).Microseconds())/1000)
		}
		for _, a := range r.history.requests {
			if a.Sidecar != s.sidecar || a.At < s.to || a.At > s.to+restartSpan {
				continue
			}
			due++
			switch {
			case a.End != Served:
				failed++
			case a.Ended-a.At <= r.clients.classes[a.Class].Aim:
				inTime++
			}
		}
	}
	if due > 0 && len(served) > 0 {
		f["restart_ready_ms"], f["restart_served_ms"] = distributionOf(ready).median, distributionOf(served).median
		f["restart_in_time"], f["restart_failed"] = inTime/due, failed/due
		f["restart_lost"] = lost / float64(len(ready))
	}
}

// attemptsAtDeadServers counts the attempts that a restarted sidecar made, up to restartSpan after it was ready, at servers
// that answered no sidecar in that time.
func (r *run) attemptsAtDeadServers(s sidecarSpan) (n float64) {
	answered := make(map[int]bool)
	attemptsAt := make(map[int]float64)
	for _, t := range r.history.tries {
		for _, a := range t.Reached {
			if a.At < s.from || a.At > s.to+restartSpan {
				continue
			}
			answered[a.Server] = answered[a.Server] || a.Answer != "" || a.Verdict != world.Accepted
			if a.Sidecar == s.sidecar {
				attemptsAt[a.Server]++
			}
		}
	}
	for server, attempts := range attemptsAt {
		if !answered[server] {
			n += attempts
		}
	}
	return n
}

// recoveryTime returns the seconds from the moment at which the last fault ended (or began, if it is permanent) until
// the share of requests answered in time was back at recoveredShare of its value before the first fault for two consecutive
// seconds. It is the rest of the run if that never happened. ok is false for a run without faults.
func (r *run) recoveryTime() (seconds float64, ok bool) {
	first, last, ok := r.faultWindow()
	if !ok {
		return 0, false
	}
	before := r.inTimeShare(1, int(first/time.Second))
	end := int(r.scenario.For.Std() / time.Second)
	for i := int((last + time.Second - 1) / time.Second); i+2 <= end; i++ {
		if r.inTimeShare(i, i+1) >= recoveredShare*before && r.inTimeShare(i+1, i+2) >= recoveredShare*before {
			return max(0, float64(i)-last.Seconds()), true
		}
	}
	return max(0, float64(end)-last.Seconds()), true
}

const (
	recoveredShare = 0.95             // of the share in time before the first fault: the fleet has recovered
	baselineSpan   = 5 * time.Second  // before the first fault, over which that share is taken
	returnTime     = 10 * time.Second // after the last fault, from which on the fleet has to stay recovered
)

// addReturnFigures adds figures of the time from returnTime after the last fault to the end of the run: the share of
// requests answered in time, that share in the baselineSpan before the first fault, whether the fleet has returned to it,
// the share of refused requests, the tries per client request, and the share of servers that are slow from overload. It
// adds nothing for runs that end earlier.
func (r *run) addReturnFigures(f map[string]float64) {
	first, last, ok := r.faultWindow()
	from, end := last+returnTime, int(r.scenario.For.Std()/time.Second)
	if !ok || int(first/time.Second) < 2 || int(from/time.Second)+2 > end {
		return
	}
	second := int((from + time.Second - 1) / time.Second)
	before, after := r.inTimeShare(int((first-baselineSpan)/time.Second), int(first/time.Second)), r.inTimeShare(second, end)
	f["before"], f["after"], f["returned"] = before, after, 0
	if after >= recoveredShare*before {
		f["returned"] = 1
	}
	n, refused, tries := 0.0, 0.0, 0.0
	for _, a := range r.history.requests {
		if a.At < from {
			continue
		}
		n++
		tries += float64(a.Tries)
		if a.End == Refused {
			refused++
		}
	}
	tipped := 0.0
	for _, v := range r.servers.congested.values()[second:end] {
		tipped += v
	}
	f["after_refused"], f["after_tries"] = refused/max(1, n), tries/max(1, n)
	f["after_tipped"] = tipped / float64(end-second) / float64(r.scenario.Fleet.Servers)
}

// faultWindow returns when the first fault began and when the last one ended, or began if it is permanent. ok is false for a
// run without faults.
func (r *run) faultWindow() (first, last time.Duration, ok bool) {
	for i, m := range r.faults.played {
		if i == 0 {
			first = m.At
		}
		first, last = min(first, m.At), max(last, m.At, m.Until)
	}
	return first, last, len(r.faults.played) > 0
}

// inTimeShare returns the share of the requests due from one second up to but not including another that was answered in time.
func (r *run) inTimeShare(from, to int) float64 {
	in, total := 0.0, 0.0
	for i := max(0, from); i < min(to, len(r.clients.inTime.perSecond)); i++ {
		in += float64(r.clients.inTime.perSecond[i].Load())
		for _, c := range r.clients.outcomes {
			total += float64(c.perSecond[i].Load())
		}
	}
	return in / max(total, 1)
}

// treeCommit returns the git commit of the tree that the lab runs in, with "+changes" if tracked files were modified.
func treeCommit() string {
	out, err := exec.Command("git", "rev-parse", "--short=12", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	name := strings.TrimSpace(string(out))
	if changed, err := exec.Command("git", "status", "--porcelain", "--untracked-files=no").Output(); err == nil && len(changed) > 0 {
		name += "+changes"
	}
	return name
}

// programDigest returns the start of the SHA-256 hash of a program file, in hexadecimal.
func programDigest(path string) string {
	f, err := os.Open(path)
	if err != nil {
		return "unknown"
	}
	defer f.Close()
	sum := sha256.New()
	if _, err := io.Copy(sum, f); err != nil {
		return "unknown"
	}
	return fmt.Sprintf("%x", sum.Sum(nil)[:6])
}

// write writes the result, the report and the list of tries to a folder.
func (r *Result) write(dir string, run *run) error {
	page, err := renderReport(r, run)
	if err != nil {
		return err
	}
	return errors.Join(
		os.WriteFile(filepath.Join(dir, "report.html"), page, 0o644),
		run.history.writeTries(filepath.Join(dir, triesName)),
		run.processes.callLog.write(filepath.Join(dir, callsName)),
		r.rewrite(dir), // last: its presence means that the folder is complete
	)
}

// encode returns the result as the JSON of result.json.
func (r *Result) encode() ([]byte, error) {
	raw, err := json.MarshalIndent(r, "", "  ")
	return append(raw, '\n'), err
}

// ReadResult reads a result from a file.
func ReadResult(path string) (*Result, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var r Result
	if err := json.Unmarshal(raw, &r); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if r.Schema != resultSchema {
		return nil, fmt.Errorf("%s: schema %d, this program reads %d", path, r.Schema, resultSchema)
	}
	return &r, nil
}

// Print writes a result in readable form.
func (r *Result) Print(w io.Writer) {
	fmt.Fprintf(w, "%s, seed %d: %d sidecars, %d servers, %.0f s (tree %s, program %s)\n",
		r.Scenario, r.Seed, r.Sidecars, r.Servers, r.Seconds, r.Commit, r.Program)
	for _, line := range r.Plan {
		fmt.Fprintf(w, "  fault      %s\n", line)
	}
	f := r.Figures
	fmt.Fprintf(w, "  worth      %.3f of the requested worth served in time (%.0f requests)\n", f["worth"], f["requests"])
	fmt.Fprintf(w, "  ended      served %.3f  refused %.3f  failed %.3f  gave up %.3f  broken %.4f  unreachable %.4f\n",
		f["served"], f["refused"], f["failed"], f["gave_up"], f["broken"], f["unreachable"])
	fmt.Fprintf(w, "  latency    p50 %.1f ms  p99 %.1f ms, from when a request was due\n", f["p50_ms"], f["p99_ms"])
	fmt.Fprintf(w, "  cost       per request: %.2f attempts, %.2f client tries, %.2f of the work, %.3f discovery calls\n",
		f["attempts"], f["client_tries"], f["work"], f["discovery_calls"])
	fmt.Fprintf(w, "  processes  cpu %.2f ms per request, peak memory %.1f MiB, peak descriptors %.0f\n", f["cpu_ms"], f["rss_mib"], f["descriptors"])
	for _, when := range []struct{ prefix, text string }{{"", "spread"}, {"after_", "  after"}} {
		if v, ok := f[when.prefix+"spread_10s"]; ok {
			fmt.Fprintf(w, "  %-10s %.1f%% over 10 s, %.1f%% of it beyond chance; busiest %.2f, least busy %.2f of the mean (%.2f, %.2f beyond chance); longest idle time %.1f s\n",
				when.text, 100*v, 100*f[when.prefix+"spread_10s_over"], f[when.prefix+"busiest"], f[when.prefix+"least"],
				f[when.prefix+"busiest_over"], f[when.prefix+"least_over"], f[when.prefix+"idle_most_s"])
		}
	}
	if back, ok := f["recovery_s"]; ok {
		fmt.Fprintf(w, "  recovery   %.1f s after the last fault\n", back)
	}
	fmt.Fprintf(w, "  lab        timers late by p99 %.1f ms, max %.0f ms; cpu %.2f ms per request; memory %.0f MiB, all sidecars %.0f MiB\n",
		f["lab_late_ms"], f["lab_late_most_ms"], f["lab_cpu_ms"], f["lab_rss_mib"], f["rss_all_mib"])
	r.printHollow(w)
	if r.Late != "" {
		fmt.Fprintf(w, "  LATE       %s: measured times of this run are unreliable\n", r.Late)
	}
	for _, v := range r.Verdicts {
		switch {
		case !v.Judged:
			fmt.Fprintf(w, "  not judged %s\n", v.Invariant)
		case v.Held:
			fmt.Fprintf(w, "  held       %s\n", v.Invariant)
		default:
			fmt.Fprintf(w, "  BROKEN     %s, %d times\n", v.Invariant, v.Broken)
			for _, line := range v.Findings {
				fmt.Fprintf(w, "             %s\n", line)
			}
		}
	}
}

// FigureNames returns the names of all figures that occur in some results, sorted.
func FigureNames(all ...*Result) []string {
	names := make(map[string]bool)
	for _, r := range all {
		for name := range r.Figures {
			names[name] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// JSON writes a result as JSON.
func (r *Result) JSON(w io.Writer) error {
	raw, err := r.encode()
	if err != nil {
		return err
	}
	_, err = w.Write(raw)
	return err
}
