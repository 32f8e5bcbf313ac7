package document_test

import (
	"fmt"
	"strings"
	"time"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/document"
)

// A document with faults is not applied; all faults are reported together, with their lines.
func ExampleParse() {
	_, faults := document.Parse("[environment]\nname = trial\n[team.members]\nshare = 2\n[route.frames]\nkind = shop\n")
	for _, f := range faults {
		fmt.Println(f)
	}
	// Output:
	// line 3: add tokenHash to [team.members]
	// line 4: give share a number from 0 to 1 instead of "2"
	// line 5: add serves to [route.frames]
	// line 5: add idempotent to [route.frames]
	// line 5: add stable to [route.frames]
	// line 6: give kind one of model, service instead of "shop"
}

// Two operators publish on top of the same version; every process accepts the first record in log order.
func ExampleReducer() {
	at := time.Date(2026, 12, 4, 5, 0, 0, 0, time.UTC)
	reducer := document.New(document.ForEnvironment("trial"))
	var records []rail.Record
	for i, stable := range []string{"v8", "v9"} {
		d, _ := document.Parse(strings.Replace(validDocument, "stable = v7", "stable = "+stable, 1))
		body, _ := document.NewPublication(d, 0)
		records = append(records, rail.NewRecord(rail.Offset(i), at, rail.RecordDocument, body))
	}
	for _, e := range reducer.Reduce(rail.NewInput(rail.NewLogRead(records, 0, 2, true), at, 0)) {
		if r, ok := e.(rail.Report); ok {
			fmt.Println(r.Number().Title()+":", r.Subject())
		}
	}
	route, _ := reducer.Current().Route("orders")
	fmt.Println("version", reducer.Current().Number(), "orders at", route.Stable())
	// Output:
	// document rejected; another one was accepted on the same base: offset 1
	// document in force: 1
	// version 1 orders at v8
}
