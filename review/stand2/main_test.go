package stand2

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"testing"
)

// Exit codes of a script.
const (
	held   = 0
	broken = 1
	cannot = 2
)

// cases are the cases by the number of their folder. Each returns an exit code.
var cases = map[string]func(e *environment) int{}

// environment is what a case gets.
type environment struct {
	// root is the repository, dir a temporary folder.
	root, dir string
	// trouble reports whether the disruption happens.
	trouble  bool
	rec      *recorder
	store    *store
	address  string
	gateways []*gateway
}

// TestMain runs the case that the variable CASE names: its stand-ins and clients run in this process, the gateways in their own.
func TestMain(*testing.M) {
	os.Exit(runCase(os.Getenv("CASE")))
}

func runCase(name string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Println("no such case:", name)
		return cannot
	}
	root := os.Getenv("ROOT")
	rec, err := newRecorder(filepath.Join(root, "review", name, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return cannot
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		fmt.Println(err)
		return cannot
	}
	if os.Getenv("KEEP") == "" {
		defer func() { _ = os.RemoveAll(dir) }()
	} else {
		fmt.Println(dir)
	}
	e := &environment{root: root, dir: dir, trouble: os.Getenv("TROUBLE") != "0", rec: rec, store: newStore(rec)}
	if e.address, err = e.store.listen(); err != nil {
		fmt.Println(err)
		return cannot
	}
	defer func() {
		for _, g := range e.gateways {
			g.stop()
		}
	}()
	return play(e)
}

// say writes to the record and to standard output.
func (e *environment) say(format string, args ...any) {
	e.rec.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

// sortedKeys returns the keys in order.
func sortedKeys(m map[string]int) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
