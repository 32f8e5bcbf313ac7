package document_test

import (
	"strings"
	"testing"

	"gopkg.in/ini.v1"

	"dandelionrail.org/rail/document"
)

// FuzzParse checks that the INI library reads the same values from a document without faults, and that a text with faults returns no document.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		validDocument, "", "[", "[environment]\nname = a\n[environment]\n", "[team.a]\nshare = 1e999\n", "a = b",
		"[environment]\r\nname = trial\r\n", "[route.x]\nkind = model ; comment\n", strings.ReplaceAll(validDocument, " = ", "="),
		"[environment]\nname = \\\n", "\ufeff[environment]\nname = a\n", "[DEFAULT]\na = b\n", "[environment]\nname = a:b\n", strings.Replace(validDocument, "name = trial", "name = #trial", 1),
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, source string) {
		d, faults := document.Parse(source)
		if len(faults) > 0 {
			for i, fault := range faults {
				if fault.Line() < 0 || fault.Line() > strings.Count(source, "\n")+1 || fault.Message() == "" || i > 0 && fault.Line() < faults[i-1].Line() {
					t.Fatalf("fault %v", fault)
				}
			}
			if d.Environment() != "" {
				t.Fatal("Parse returned a document and faults")
			}
			return
		}
		compareWithLibrary(t, d.Source())
		if again, faults := document.Parse(d.Source()); len(faults) > 0 || again.Environment() != d.Environment() {
			t.Fatal("a second parse of the same text differs")
		}
	})
}

// compareWithLibrary fails if the INI library reads other keys or values than Diff against an empty text returns.
func compareWithLibrary(t *testing.T, source string) {
	t.Helper()
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "="}, []byte(source))
	if err != nil {
		t.Fatalf("the library rejects a text that Parse accepts: %v", err)
	}
	keys := 0
	for _, s := range file.Sections() {
		keys += len(s.Keys())
	}
	changes := document.Diff("", source)
	if keys != len(changes) {
		t.Fatalf("the library reads %d keys, Parse %d", keys, len(changes))
	}
	for _, c := range changes {
		if got := file.Section(c.Section()).Key(c.Key()).Value(); got != c.After() || got == "" {
			t.Fatalf("[%s] %s: the library reads %q, Parse %q", c.Section(), c.Key(), got, c.After())
		}
	}
}
