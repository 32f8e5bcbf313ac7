package harness

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Results of a script.
const (
	held   = 0 // The rule held.
	broken = 1 // The rule was broken.
	failed = 2 // The case could not run.
)

// cases are the cases by their names, which run.sh gives.
var cases = map[string]func(w *world) int{}

// maxTime ends a case that does not end by itself.
const maxTime = 117 * time.Second

// TestMain plays the case that CASE names. RECORD is the file for what was sent, answered and run, ROOT the root of the repository,
// and TROUBLE=0 leaves the disruption out.
func TestMain(*testing.M) {
	play, ok := cases[os.Getenv("CASE")]
	if !ok {
		fmt.Println("CASE names no case")
		os.Exit(failed)
	}
	w, err := newWorld(os.Getenv("ROOT"), os.Getenv("RECORD"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Println("cannot run:", err)
		os.Exit(failed)
	}
	giveUp := func(why string) {
		w.note("cannot run: %s", why)
		w.close()
		os.Exit(failed)
	}
	time.AfterFunc(maxTime, func() { giveUp("no result in time") })
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-stop
		giveUp("stopped by a signal")
	}()
	result := func() (code int) {
		defer func() {
			if r := recover(); r != nil {
				w.note("cannot run: %v", r)
				code = failed
			}
		}()
		return play(w)
	}()
	w.note("result %d", result)
	w.close()
	os.Exit(result)
}
