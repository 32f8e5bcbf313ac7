package rail_test

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
)

var update = flag.Bool("update", false, "write docs/events.md anew")

const catalogueFile = "docs/events.md"

func catalogue() string {
	var b strings.Builder
	b.WriteString("# Log events\n\nEach line of the structured log carries its number as `event`.\n")
	b.WriteString("This page is written by `go test . -run TestCatalogue -update`.\n\n| event | title |\n|---|---|\n")
	numbers := rail.EventNumbers()
	slices.Sort(numbers)
	for _, n := range numbers {
		fmt.Fprintf(&b, "| %d | %s |\n", n, n.Title())
	}
	return b.String()
}

func TestCatalogueListsEveryEvent(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(catalogueFile, []byte(catalogue()), 0o600))
	}
	page, err := os.ReadFile(catalogueFile)
	is.NoErr(err)
	is.Equal(string(page), catalogue())
	source, err := os.ReadFile("number.go")
	is.NoErr(err)
	// Each number has a constant and a title.
	is.Equal(strings.Count(string(source), "Number = "), len(rail.EventNumbers()))
}
