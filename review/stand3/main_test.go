package stand3

import (
	"fmt"
	"os"
	"os/signal"
	"sort"
	"sync"
	"syscall"
	"testing"
	"time"
)

// The exit codes of a case.
const (
	held   = 0
	broken = 1
	unable = 2
)

// cases are the cases by the name that CASE holds.
var cases = map[string]func(*environment) int{}

// TestMain runs the case that the environment names, in place of tests.
func TestMain(_ *testing.M) {
	name := os.Getenv("CASE")
	run, ok := cases[name]
	if !ok {
		var names []string
		for n := range cases {
			names = append(names, n)
		}
		sort.Strings(names)
		fmt.Fprintf(os.Stderr, "CASE %q is none of %v\n", name, names)
		os.Exit(unable)
	}
	e, err := newEnvironment(os.Getenv("ROOT"), os.Getenv("RECORD"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(unable)
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		e.close()
		os.Exit(unable)
	}()
	watchdog := time.AfterFunc(115*time.Second, func() {
		e.note("the case took too long")
		e.close()
		os.Exit(unable)
	})
	code := func() (code int) {
		defer func() {
			if cause := recover(); cause != nil {
				e.note("could not run: %v", cause)
				code = unable
			}
		}()
		return run(e)
	}()
	watchdog.Stop()
	e.note("exit %d", code)
	e.close()
	os.Exit(code)
}

// environment is what one case runs in.
type environment struct {
	root    string
	trouble bool
	dir     string
	start   time.Time
	store   *store
	stop    chan struct{}

	mu       sync.Mutex
	record   *os.File
	gateways []*gatewayProcess
	workers  []*worker
	closed   bool
}

func newEnvironment(root, record string, trouble bool) (*environment, error) {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	e := &environment{root: root, trouble: trouble, dir: dir, start: time.Now(), record: f, stop: make(chan struct{})}
	e.note("TROUBLE=%v", trouble)
	if e.store, err = newStore(e); err != nil {
		return nil, err
	}
	return e, nil
}

// note writes a line with the time since the start to the record.
func (e *environment) note(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	fmt.Fprintf(e.record, "%8.3f  %s\n", time.Since(e.start).Seconds(), fmt.Sprintf(format, args...))
}

// result writes a line to the record and to standard output.
func (e *environment) result(format string, args ...any) {
	e.note(format, args...)
	fmt.Printf(format+"\n", args...)
}

// close ends all processes and servers of the case.
func (e *environment) close() {
	e.mu.Lock()
	if e.closed {
		e.mu.Unlock()
		return
	}
	e.closed = true
	gateways, workers := e.gateways, e.workers
	e.mu.Unlock()
	close(e.stop)
	for _, g := range gateways {
		g.kill()
	}
	for _, w := range workers {
		w.end()
	}
	e.store.listener.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(e.dir)
	} else {
		fmt.Println("kept", e.dir)
	}
}

// every calls f at the interval until the case ends or f returns false.
func (e *environment) every(d time.Duration, f func() bool) {
	go func() {
		t := time.NewTicker(d)
		defer t.Stop()
		for {
			select {
			case <-e.stop:
				return
			case <-t.C:
				if !f() {
					return
				}
			}
		}
	}()
}
