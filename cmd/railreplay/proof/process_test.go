package proof_test

import (
	"bufio"
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	startDeadline = 20 * time.Second
	pollInterval  = 20 * time.Millisecond
)

// programDir is the directory of the built programs.
var programDir string

func TestMain(m *testing.M) {
	flag.Parse()
	if testing.Short() {
		fmt.Println("skipping tests with real processes in short mode")
		os.Exit(0)
	}
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs, runs the tests and removes the programs.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "proof")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	programDir = dir
	for _, p := range []string{"dandelionrail", "standin"} {
		c := exec.Command("go", "build", "-o", filepath.Join(dir, p), ".")
		c.Dir = filepath.Join("..", "..", p)
		if out, err := c.CombinedOutput(); err != nil {
			fmt.Printf("build %s: %v\n%s", p, err, out)
			return 1
		}
	}
	return m.Run()
}

// process is one started program.
type process struct {
	command *exec.Cmd
	address string
	log     string
}

// start starts a program and waits for the line that states its address.
func start(t testing.TB, name, program string, args ...string) *process {
	t.Helper()
	is := is.New(t)
	p := &process{command: exec.Command(filepath.Join(programDir, program), args...), log: filepath.Join(t.TempDir(), name)}
	log, err := os.Create(p.log)
	is.NoErr(err)
	defer func() { _ = log.Close() }()
	p.command.Stderr = log
	out, err := p.command.StdoutPipe()
	is.NoErr(err)
	is.NoErr(p.command.Start())
	t.Cleanup(func() { p.stop(t, name) })
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if address, ok := strings.CutPrefix(lines.Text(), "listening "); ok {
			p.address = address
			return p
		}
	}
	t.Fatalf("%s ended before it listened", name)
	return nil
}

// stop kills the process and prints the end of its log if the test failed.
func (p *process) stop(t testing.TB, name string) {
	_ = p.command.Process.Kill()
	_ = p.command.Wait()
	if !t.Failed() {
		return
	}
	if text, err := os.ReadFile(p.log); err == nil {
		t.Logf("log of %s:\n%s", name, tail(string(text)))
	}
}

// tail returns the end of a log.
func tail(text string) string {
	const maxBytes = 4000
	return text[max(0, len(text)-maxBytes):]
}

func (p *process) url() string { return "http://" + p.address }

func (p *process) id() int { return p.command.Process.Pid }

// poll waits until the condition holds, and fails the test if it does not within the deadline.
func poll(t testing.TB, what string, condition func(ctx context.Context) bool) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), startDeadline)
	defer cancel()
	for !condition(ctx) {
		select {
		case <-ctx.Done():
			t.Fatalf("%s: condition did not hold within %s", what, startDeadline)
		case <-time.After(pollInterval):
		}
	}
}
