package command

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

// childSettingsVariable is the environment variable with the settings file of the instance that a child process of the
// tests runs.
const childSettingsVariable = "MAGNOLIAFERRY_TEST_CHILD"

// TestMain runs an instance in the child processes of TestHangupDoesNotStopInstance.
func TestMain(m *testing.M) {
	if file := os.Getenv(childSettingsVariable); file != "" {
		os.Exit(Run(context.Background(), []string{"run", "--settings", file}, Environment{Out: os.Stdout, Err: os.Stderr}))
	}
	os.Exit(m.Run())
}

// Guards against an instance that ends upon SIGHUP, by which the platform announces that the settings have changed.
func TestHangupDoesNotStopInstance(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0") // a store that never answers
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	write := func(file string, grace int) {
		content := fmt.Sprintf(`{"node":"n","zone":"z","listen":{"callers":"127.0.0.1:0","ready":"127.0.0.1:0"},"store":%q,
			"lease-limit":6000,"stop-grace-s":%d,"state-retention-s":120}`, listener.Addr(), grace)
		if err := os.WriteFile(file, []byte(content), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	file := filepath.Join(t.TempDir(), "settings.json")
	write(file, 6)
	child := exec.Command(os.Args[0])
	child.Env = append(os.Environ(), childSettingsVariable+"="+file)
	out, err := child.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := child.Start(); err != nil {
		t.Fatal(err)
	}
	defer func() { _ = child.Wait() }() // it was killed
	defer func() { _ = child.Process.Kill() }()
	lines := bufio.NewScanner(out)
	await := func(name string) string {
		for lines.Scan() {
			if strings.Contains(lines.Text(), `"name":"`+name+`"`) {
				return lines.Text()
			}
		}
		t.Fatalf("log event %q got no line before the process ended", name)
		return ""
	}
	await("instance-started")
	for _, changed := range []bool{false, true} {
		if changed {
			write(file, 7)
		}
		if err := child.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		if got, want := await("settings-reread"), fmt.Sprintf(`"changed":%v`, changed); !strings.Contains(got, want) {
			t.Errorf("line got %s, want %s", got, want)
		}
	}
}
