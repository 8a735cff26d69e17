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

// TestMain lets the test program stand in for caperarch itself.
func TestMain(m *testing.M) {
	sysfault.Launch()
	if os.Getenv("CAPERARCH_ITSELF") != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program is caperarch with a configuration, not started yet.
func program(t *testing.T, config string, args ...string) *exec.Cmd {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(config), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(os.Args[0], args...)
	cmd.Env = append(os.Environ(), "CAPERARCH_ITSELF=1", "TMPDIR="+t.TempDir(), "EDGE_CONFIG="+path)
	return cmd
}

const usable = `{"listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"1f","limits":{"memory_mb":192,"sockets":1024},
	"settings":{"balancers":1,"caps":{"most_tries":3,"conn_idle_ms":30000,"dial_timeout_ms":250},
	"classes":[{"name":"a","aim_ms":500,"hard_limit_ms":1000}]}}`

func TestUnusableConfigEndsInOneLine(t *testing.T) {
	var log bytes.Buffer
	cmd := program(t, strings.Replace(usable, "30000", "0", 1))
	cmd.Stderr = &log
	err := cmd.Run()
	if err == nil || !strings.Contains(log.String(), "caps.conn_idle_ms") || strings.Count(log.String(), "\n") != 1 {
		t.Errorf("error %v, log %q, want one line that names the field", err, &log)
	}
}

// It serves, with discovery out of reach too, and SIGTERM ends it with exit code 0.
func TestServesUntilSIGTERM(t *testing.T) {
	cmd := program(t, usable)
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	stuck := time.AfterFunc(time.Minute, func() { _ = cmd.Process.Kill() }) // so that a hang fails
	defer stuck.Stop()
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
	for lines.Scan() { // until it ends
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// SIGHUP makes it read its configuration again and go to where discovery is now. A configuration
// that can't be used is told and changes nothing.
func TestReconfiguration(t *testing.T) {
	asked := make(chan struct{}, 100)
	place := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { asked <- struct{}{} }))
	defer place.Close()
	cmd := program(t, usable)
	path := strings.TrimPrefix(cmd.Env[len(cmd.Env)-1], "EDGE_CONFIG=")
	log, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	stuck := time.AfterFunc(time.Minute, func() { _ = cmd.Process.Kill() }) // so that a hang fails
	defer stuck.Stop()
	lines := bufio.NewScanner(log)
	logged := func(text string) {
		t.Helper()
		for lines.Scan() {
			if strings.Contains(lines.Text(), text) {
				return
			}
		}
		t.Fatalf("it ended with no word of %q", text)
	}
	logged("serving")
	for _, c := range []struct{ config, logged string }{
		{strings.Replace(usable, "30000", "0", 1), "caps.conn_idle_ms"},
		{strings.Replace(usable, "127.0.0.1:1", place.Listener.Addr().String(), 1), "discovery moved"},
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
	case <-asked:
	case <-time.After(time.Minute):
		t.Error("discovery was not called where it is now")
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	for lines.Scan() { // until it ends
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("ended with %v", err)
	}
}

// Every command says what it is asked, or in one line what is wrong, by its exit code too.
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
	go func() { // answers the first words of a call
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
	door := console.Addr().String()
	sound, hurt := t.TempDir(), t.TempDir()
	for _, dir := range []string{sound, hurt} {
		s, err := store.Open(store.Options{Dir: dir})
		if err == nil {
			err = errors.Join(s.Put("calls", "s-1", []byte("{}")), s.Close())
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	files, err := filepath.Glob(filepath.Join(hurt, "state-*"))
	if err != nil || len(files) != 1 || os.Truncate(files[0], 1560) != nil {
		t.Fatalf("files %v, error %v", files, err)
	}
	for _, c := range []struct {
		config string
		args   []string
		code   int
		want   string
	}{
		{usable, []string{"check"}, 0, "sockets = 1024"},
		{strings.Replace(usable, "{", `{"colour":1,`, 1), []string{"check"}, 0, `"colour" means nothing`},
		{strings.Replace(usable, "30000", "0", 1), []string{"check"}, 1, "caps.conn_idle_ms"},
		{usable, []string{"check", "--fleet", good}, 0, "n1 = '127.0.0.1:1'"},
		{usable, []string{"check", "--fleet", bad}, 1, "routes.n1"},
		{strings.Replace(usable, "{", fmt.Sprintf(`{"fleet":%q,`, bad), 1), []string{"check"}, 1, "routes.n1"},
		{strings.Replace(usable, "{", fmt.Sprintf(`{"fleet":%q,`, bad), 1), nil, 1, "routes.n1"},
		{usable, []string{"check", "--config", dir}, 1, "is a directory"},
		{usable, []string{"call", door, "ready"}, 0, "200 yes"},
		{usable, []string{"call", door, "disable-server", "x"}, 1, "400 no"},
		{usable, []string{"call", door, "mumble"}, 1, "no answer"},
		{usable, []string{"call", "127.0.0.1:1", "ready"}, 1, "refused"},
		{usable, []string{"version"}, 0, "caperarch"},
		{usable, []string{"state", "show", sound}, 0, "s-1"},
		{usable, []string{"state", "verify", sound}, 0, "sound"},
		{usable, []string{"state", "export", sound}, 0, `"key": "s-1"`},
		{usable, []string{"state", "verify", hurt}, 1, "offset 1536"},
		{usable, []string{"state", "show", hurt}, 0, "damaged: state-"},
		{usable, []string{"state", "verify", dir}, 2, "holds no state"},
		{usable, []string{"state", "verify"}, 1, "accepts 1 arg"},
		{usable, []string{"--help"}, 0, "check"},
		{usable, []string{"serve"}, 1, "unknown command"},
		{usable, []string{"check", "--flet", good}, 1, "unknown flag"},
	} {
		cmd := program(t, c.config, c.args...)
		out, _ := cmd.CombinedOutput()
		if cmd.ProcessState.ExitCode() != c.code || !strings.Contains(string(out), c.want) {
			t.Errorf("%q: exit code %d, want %d and %q:\n%s", c.args, cmd.ProcessState.ExitCode(), c.code, c.want, out)
		}
	}
}
