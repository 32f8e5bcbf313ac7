package document

import (
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"dandelionrail.org/rail/section"
)

const (
	// hashDigits is the length of a SHA-256 in hex digits.
	hashDigits = 64
	// maxLimit bounds a team's limit in requests per second.
	maxLimit = 1e9
	// maxDuration bounds a route's targets.
	maxDuration = 24 * time.Hour
)

// values reads the keys of one section and records which ones are known.
type values struct {
	parser  *parser
	section section.Section
	known   []string
}

// optional returns the key with the name, if the section has it.
func (v *values) optional(name string) (section.Key, bool) {
	v.known = append(v.known, name)
	return v.section.Key(name)
}

// required returns the key with the name and adds a fault if it is missing.
func (v *values) required(name string) (section.Key, bool) {
	k, ok := v.optional(name)
	if !ok {
		v.parser.addFault(v.section.Line(), "add %s to [%s]", name, v.section.Name())
	}
	return k, ok
}

func (v *values) invalid(k section.Key, expected string) {
	v.parser.addFault(k.Line(), "give %s %s instead of %q", k.Name(), expected, k.Value())
}

func (v *values) name(key string) string {
	k, ok := v.required(key)
	if ok && (len(k.Value()) > maxNameBytes || strings.ContainsAny(k.Value(), " \t/?#")) {
		v.invalid(k, "a name of at most 64 bytes without spaces, slashes, question and number signs")
	}
	return k.Value()
}

func (v *values) hash(key string) string {
	k, ok := v.required(key)
	if ok && (len(k.Value()) != hashDigits || strings.Trim(k.Value(), "0123456789abcdef") != "") {
		v.invalid(k, "the SHA-256 of the team's token in 64 lower-case hex digits")
	}
	return k.Value()
}

func (v *values) oneOf(key string, choices ...string) string {
	k, ok := v.required(key)
	if ok && !slices.Contains(choices, k.Value()) {
		v.invalid(k, "one of "+strings.Join(choices, ", "))
	}
	return k.Value()
}

// float returns an optional number between zero and the maximum, zero if it is missing.
func (v *values) float(key string, maximum float64, expected string) float64 {
	k, ok := v.optional(key)
	if !ok {
		return 0
	}
	x, err := strconv.ParseFloat(k.Value(), 64)
	if err != nil || math.IsNaN(x) || x < 0 || x > maximum {
		v.invalid(k, expected)
		return 0
	}
	return x
}

func (v *values) share(key string) float64 { return v.float(key, 1, "a number from 0 to 1") }

func (v *values) number(key string) float64 {
	return v.float(key, maxLimit, "a number of requests a second, 0 for no limit,")
}

func (v *values) integer(key string, minimum, maximum int) int {
	k, ok := v.optional(key)
	if !ok {
		return 0
	}
	x, err := strconv.Atoi(k.Value())
	if err != nil || x < minimum || x > maximum {
		v.invalid(k, "a whole number from "+strconv.Itoa(minimum)+" to "+strconv.Itoa(maximum))
	}
	return x
}

func (v *values) boolean(key string) bool {
	k, ok := v.required(key)
	if !ok {
		return false
	}
	if k.Value() != "true" && k.Value() != "false" {
		v.invalid(k, "true or false")
	}
	return k.Value() == "true"
}

func (v *values) duration(key string) time.Duration {
	k, ok := v.optional(key)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(k.Value())
	if err != nil || d <= 0 || d > maxDuration {
		v.invalid(k, "a duration such as 800ms or 2m, at most 24h,")
	}
	return d
}

func (v *values) time(key string) time.Time {
	k, ok := v.required(key)
	if !ok {
		return time.Time{}
	}
	t, err := time.Parse(time.RFC3339, k.Value())
	if err != nil {
		v.invalid(k, "a time such as 2026-12-04T06:00:00Z")
	}
	return t
}

// rejectUnknown adds a fault for each key that is not known.
func (v *values) rejectUnknown() {
	for _, k := range v.section.Keys() {
		if !slices.Contains(v.known, k.Name()) {
			v.parser.addFault(k.Line(), "remove the unknown key %s; [%s] knows %s", k.Name(), v.section.Name(), strings.Join(v.known, ", "))
		}
	}
}
