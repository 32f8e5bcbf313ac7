package document

import (
	"fmt"
	"slices"
	"strings"

	"dandelionrail.org/rail/section"
)

// Change is one key that differs between two documents; a missing value is empty.
type Change struct {
	section string
	key     string
	before  string
	after   string
}

// Section returns the section.
func (c Change) Section() string { return c.section }

// Key returns the key.
func (c Change) Key() string { return c.key }

// Before returns the old value, empty if the key is new.
func (c Change) Before() string { return c.before }

// After returns the new value, empty if the key was removed.
func (c Change) After() string { return c.after }

// keyPath identifies a value by section and key.
type keyPath struct{ section, key string }

// flatten returns the values of a text by path, and the paths in order.
func flatten(source string) (map[keyPath]section.Key, []keyPath) {
	sections, _ := section.Read(source)
	values := map[keyPath]section.Key{}
	var order []keyPath
	for _, s := range sections {
		for _, k := range s.Keys() {
			p := keyPath{s.Name(), k.Name()}
			values[p] = k
			order = append(order, p)
		}
	}
	return values, order
}

// Diff returns the keys that differ between two texts: first those of the new text in its order, then the removed ones.
func Diff(before, after string) []Change {
	old, oldOrder := flatten(before)
	now, order := flatten(after)
	var changes []Change
	for _, p := range order {
		if old[p].Value() != now[p].Value() {
			changes = append(changes, Change{p.section, p.key, old[p].Value(), now[p].Value()})
		}
	}
	for _, p := range oldOrder {
		if _, ok := now[p]; !ok {
			changes = append(changes, Change{p.section, p.key, old[p].Value(), ""})
		}
	}
	return changes
}

// environmentKeys holds the keys with a separate value in each environment, by the kind of section.
var environmentKeys = map[string][]string{
	"environment": {"name"},
	"team":        {"tokenHash", "limit"},
}

// environmentSpecific reports whether each environment has a separate value.
func environmentSpecific(p keyPath) bool {
	kind, _, _ := strings.Cut(p.section, ".")
	return slices.Contains(environmentKeys[kind], p.key)
}

// Promote returns the source with the values of the target environment.
//
// The environment's name and the teams' token hashes and limits are taken from
// the target's document in force. The values, an INI text with the same sections
// and keys, override them and any other key. A team that is new to the target
// needs its token hash there. The faults name missing keys and overrides of
// keys that the source does not have.
func Promote(source, target, values string) (string, []Fault) {
	targetValues, _ := flatten(target)
	overrides, overridePaths := flatten(values)
	_, faults := section.Read(values)
	lines := strings.Split(source, "\n")
	sourceValues, paths := flatten(source)
	for _, p := range paths {
		k := sourceValues[p]
		value, ok := overrides[p]
		if !ok && environmentSpecific(p) {
			value, ok = targetValues[p]
		}
		switch {
		case ok:
			lines[k.Line()-1] = k.Name() + " = " + value.Value()
		case environmentSpecific(p) && p.key != "limit":
			faults = append(faults, section.NewFault(k.Line(), fmt.Sprintf("state %s of [%s] for the target environment", p.key, p.section)))
		}
	}
	for _, p := range overridePaths {
		if _, ok := sourceValues[p]; !ok {
			faults = append(faults, section.NewFault(0, fmt.Sprintf("remove %s of [%s] from the values; the source does not state it", p.key, p.section)))
		}
	}
	return strings.Join(lines, "\n"), faults
}
