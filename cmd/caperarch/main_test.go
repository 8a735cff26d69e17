package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"arrowgw/internal/store"
	"arrowgw/internal/sysfault"
)

// TestMain lets the test binary run as caperarch.
func TestMain(m *testing.M) {
	sysfault.Launch()
	if os.Getenv("CAPERARCH_ITSELF") != "" {
		main()
		return
	}
	code := m.Run()
	if builtProgram != "" {
		_ = os.RemoveAll(filepath.Dir(builtProgram)) // what is left stays in the system's folder for temporary files
	}
	os.Exit(code)
}

// builtProgram is the path of the program that tests have built, in a folder of its own; empty if there is none.
var builtProgram string

// caperarchCommand returns a command that runs caperarch with a configuration.
func caperarchCommand(t testing.TB, config string, args ...string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "CAPERARCH_ITSELF=1", "TMPDIR="+t.TempDir(), "EDGE_CONFIG="+path)
	return cmd
}

const usableConfig = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","limits":{"memory_mb":192,"sockets":1024},
	"settings":{"balancers":1,"caps":{"most_tries":3,"conn_idle_ms":30000,"dial_timeout_ms":250},
	"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000}]}}`

func TestInvalidConfigIsReportedInOneLine(t *testing.T) {
	var log bytes.Buffer
	cmd := caperarchCommand(t, strings.Replace(usableConfig, "30000", "0", 1))
	cmd.Stderr = &log
	err := cmd.Run()
	if err == nil || !strings.Contains(log.String(), "caps.conn_idle_ms") || strings.Count(log.String(), "\n") != 1 {
		t.Errorf("error %v, log %q, want one line that names the field", err, &log)
	}
}

// The sidecar must serve although discovery is unreachable, and exit with code 0 on SIGTERM.
func TestServesUntilSIGTERM(t *testing.T) {
	cmd := caperarchCommand(t, usableConfig)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	killTimer := time.AfterFunc(time.Minute, func() { _ = cmd.Process.Kill() }) // makes a hang fail the test
	defer killTimer.Stop()
	address := ""
	lines := bufio.NewScanner(log)
	for address == "" && lines.Scan() {
		if m := regexp.MustCompile(`listen=(\S+)`).FindStringSubmatch(lines.Text()); m != nil {
			address = m[1]
		}
	}
	res, err := http.Get("http://" + address + "/up")
	if err != nil || res.StatusCode != http.StatusOK {
		t.Errorf("GET /up: %v, error %v", res, err)
	} else {
		res.Body.Close()
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() { // until the sidecar exits
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the sidecar exited with %v", err)
	}
}

// On SIGHUP the sidecar must read its configuration again and use the new discovery address. It must log the error of an
// invalid configuration and keep the old one.
func TestReconfiguration(t *testing.T) {
	called := make(chan struct{}, 100)
	discovery := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { called <- struct{}{} }))
	defer discovery.Close()
	cmd := caperarchCommand(t, usableConfig)
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "EDGE_CONFIG=")
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	killTimer := time.AfterFunc(time.Minute, func() { _ = cmd.Process.Kill() }) // makes a hang fail the test
	defer killTimer.Stop()
	lines := bufio.NewScanner(log)
	logged := func(text string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		t.Fatalf("the log ended without %q", text)
	}
	logged("serving")
	for _, c := range []struct{ config, logged string }{
		{strings.Replace(usableConfig, "30000", "0", 1), "caps.conn_idle_ms"},
		{strings.Replace(usableConfig, "127.0.0.1:1", discovery.Listener.Addr().String(), 1), "discovery moved"},
	} {
		if err := os.WriteFile(path, []byte(c.config), 0o600); err != nil {
			t.Fatal(err)
		}
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		logged(c.logged)
	}
	select {
	case <-called:
	case <-time.After(time.Minute):
		t.Error("discovery was not called at its new address")
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() { // until the sidecar exits
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the sidecar exited with %v", err)
	}
}

// Every command must print its result or its error, and exit with the right code.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	good := file("good.toml", "[routes]\nn1='127.0.0.1:1'\n")
	bad := file("bad.toml", "[routes]\n\nn1='nowhere'\n")
	console, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer console.Close()
	go func() { // a console that answers a few commands
		for {
			c, err := console.Accept()
			if err != nil {
				return
			}
			line, _ := bufio.NewReader(c).ReadString('\n')
			answer := map[string]string{"ready\n": "200 yes\n", "disable-server x\n": "400 no\n"}[line]
			_, _ = c.Write([]byte(answer))
			c.Close()
		}
	}()
	address := console.Addr().String()
	sound, damaged := t.TempDir(), t.TempDir()
	for _, dir := range []string{sound, damaged} {
		s, err := store.Open(store.Options{Dir: dir})
		if err == nil {
			err = errors.Join(s.Put("calls", "s-1", []byte("{}")), s.Close())
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	files, err := filepath.Glob(filepath.Join(damaged, "state-*"))
	if err != nil || len(files) != 1 || os.Truncate(files[0], 1560) != nil {
		t.Fatalf("files %v, error %v", files, err)
	}
	for _, c := range []struct {
		config string
		args   []string
		code   int
		want   string
	}{
		{usableConfig, []string{"check"}, 0, "sockets = 1024"},
		{strings.Replace(usableConfig, "{", `{"colour":1,`, 1), []string{"check"}, 0, `unknown key "colour" is ignored`},
		{strings.Replace(usableConfig, "30000", "0", 1), []string{"check"}, 1, "caps.conn_idle_ms"},
		{usableConfig, []string{"check", "--fleet", good}, 0, "n1 = '127.0.0.1:1'"},
		{usableConfig, []string{"check", "--fleet", bad}, 1, "routes.n1"},
		{strings.Replace(usableConfig, "{", fmt.Sprintf(`{"fleet":%q,`, bad), 1), []string{"check"}, 1, "routes.n1"},
		{strings.Replace(usableConfig, "{", fmt.Sprintf(`{"fleet":%q,`, bad), 1), nil, 1, "routes.n1"},
		{usableConfig, []string{"check", "--config", dir}, 1, "is a directory"},
		{usableConfig, []string{"call", address, "ready"}, 0, "200 yes"},
		{usableConfig, []string{"call", address, "disable-server", "x"}, 1, "400 no"},
		{usableConfig, []string{"call", address, "mumble"}, 1, "no answer"},
		{usableConfig, []string{"call", "127.0.0.1:1", "ready"}, 1, "refused"},
		{usableConfig, []string{"version"}, 0, "caperarch"},
		{usableConfig, []string{"state", "show", sound}, 0, "s-1"},
		{usableConfig, []string{"state", "verify", sound}, 0, "sound"},
		{usableConfig, []string{"state", "export", sound}, 0, `"key": "s-1"`},
		{usableConfig, []string{"state", "verify", damaged}, 1, "offset 1536"},
		{usableConfig, []string{"state", "show", damaged}, 0, "damaged: state-"},
		{usableConfig, []string{"state", "verify", dir}, 2, "holds no state"},
		{usableConfig, []string{"state", "verify"}, 1, "accepts 1 arg"},
		{usableConfig, []string{"--help"}, 0, "check"},
		{usableConfig, []string{"serve"}, 1, "unknown command"},
		{usableConfig, []string{"check", "--flet", good}, 1, "unknown flag"},
	} {
		cmd := caperarchCommand(t, c.config, c.args...)
		out, _ := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != c.code || !strings.Contains(string(out), c.want) {
			t.Errorf("%q: exit code %d, want %d and %q:\n%s", c.args, cmd.ProcessState.ExitCode(), c.code, c.want, out)
		}
	}
}
