package settings

import (
	"cmp"
	"net"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail/section"
)

// Fault is one error in a settings file, with a message that says what to change.
type Fault = section.Fault

// parser parses the value of one key into the settings.
type parser func(s *Settings, value string) error

// parsers holds the parser of each known key, by section and key.
var parsers = map[string]map[string]parser{
	"entry": {
		"id":            stringValue(func(s *Settings) *string { return &s.id }),
		"domain":        stringValue(func(s *Settings) *string { return &s.domain }),
		"environment":   stringValue(func(s *Settings) *string { return &s.environment }),
		"listen":        stringValue(func(s *Settings) *string { return &s.listen }),
		"controlListen": stringValue(func(s *Settings) *string { return &s.controlListen }),
	},
	"peers": {
		"addresses": addressList(func(s *Settings) *[]string { return &s.peers }),
	},
	"platform": {
		"url":          stringValue(func(s *Settings) *string { return &s.platform }),
		"listInterval": positiveDuration(func(s *Settings) *time.Duration { return &s.listInterval }),
		"retention":    positiveDuration(func(s *Settings) *time.Duration { return &s.retention }),
		"readWait":     positiveDuration(func(s *Settings) *time.Duration { return &s.readWait }),
	},
	"intervals": {
		"load": positiveDuration(func(s *Settings) *time.Duration { return &s.loadInterval }),
		"peer": positiveDuration(func(s *Settings) *time.Duration { return &s.peerInterval }),
	},
	"limits": {
		"maxBodyBytes": positiveInt(func(s *Settings) *int { return &s.maxBodyBytes }),
		"queueLength":  positiveInt(func(s *Settings) *int { return &s.queueLength }),
		"maxWaiting":   positiveDuration(func(s *Settings) *time.Duration { return &s.maxWaiting }),
	},
	"leaving": {
		"acceptFor": positiveDuration(func(s *Settings) *time.Duration { return &s.acceptFor }),
		"notice":    positiveDuration(func(s *Settings) *time.Duration { return &s.reclaimNotice }),
	},
	"orders": {
		"window":   positiveDuration(func(s *Settings) *time.Duration { return &s.orderWindow }),
		"outcomes": positiveInt(func(s *Settings) *int { return &s.maxOutcomes }),
	},
	"answers": {
		"firstToken":    positiveDuration(func(s *Settings) *time.Duration { return &s.firstTokenTimeout }),
		"betweenTokens": positiveDuration(func(s *Settings) *time.Duration { return &s.interTokenTimeout }),
	},
	"fleet": {
		"buys": boolean(func(s *Settings) *bool { return &s.buys }),
	},
	"tls": {
		"certificate": stringValue(func(s *Settings) *string { return &s.certificate }),
		"key":         stringValue(func(s *Settings) *string { return &s.key }),
		"authority":   stringValue(func(s *Settings) *string { return &s.authority }),
	},
	"log": {
		"level": oneOf(func(s *Settings) *string { return &s.logLevel }, "debug", "info", "warn", "error"),
	},
}

func stringValue(target func(*Settings) *string) parser {
	return func(s *Settings, value string) error {
		*target(s) = value
		return nil
	}
}

func addressList(target func(*Settings) *[]string) parser {
	return func(s *Settings, value string) error {
		for _, a := range strings.Split(value, ",") {
			a = strings.TrimSpace(a)
			if _, _, err := net.SplitHostPort(a); err != nil {
				return errors.New("state host:port, parted by commas")
			}
			*target(s) = append(*target(s), a)
		}
		return nil
	}
}

func positiveDuration(target func(*Settings) *time.Duration) parser {
	return func(s *Settings, value string) error {
		d, err := time.ParseDuration(value)
		if err != nil || d <= 0 {
			return errors.New("state a time above zero with its unit, for example 500ms")
		}
		*target(s) = d
		return nil
	}
}

func positiveInt(target func(*Settings) *int) parser {
	return func(s *Settings, value string) error {
		n, err := strconv.Atoi(value)
		if err != nil || n <= 0 {
			return errors.New("state a whole number above zero")
		}
		*target(s) = n
		return nil
	}
}

func boolean(target func(*Settings) *bool) parser {
	return func(s *Settings, value string) error {
		b, err := strconv.ParseBool(value)
		if err != nil {
			return errors.New("state true or false")
		}
		*target(s) = b
		return nil
	}
}

func oneOf(target func(*Settings) *string, allowed ...string) parser {
	return func(s *Settings, value string) error {
		for _, a := range allowed {
			if value == a {
				*target(s) = value
				return nil
			}
		}
		return errors.New("state one of " + strings.Join(allowed, ", "))
	}
}

// Read returns the settings of an INI text and all its faults in order of lines.
func Read(source string) (Settings, []Fault) {
	s := Defaults()
	sections, faults := section.Read(source)
	for _, sec := range sections {
		faults = append(faults, readSection(&s, sec)...)
	}
	for _, f := range s.validate(sections) {
		if !slices.ContainsFunc(faults, func(g Fault) bool { return f.Line() > 0 && f.Line() == g.Line() }) {
			faults = append(faults, f)
		}
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.Line(), b.Line()) })
	return s, faults
}

func readSection(s *Settings, sec section.Section) []Fault {
	parsersByKey, ok := parsers[sec.Name()]
	if !ok {
		return []Fault{section.NewFault(sec.Line(), "["+sec.Name()+"]: no such section; remove it")}
	}
	var faults []Fault
	for _, k := range sec.Keys() {
		parse, ok := parsersByKey[k.Name()]
		if !ok {
			faults = append(faults, newFault(k.Line(), sec.Name(), k.Name(), "no such key; remove it"))
			continue
		}
		if err := parse(s, k.Value()); err != nil {
			faults = append(faults, newFault(k.Line(), sec.Name(), k.Name(), err.Error()))
		}
	}
	return faults
}

// newFault returns a fault of a key; line 0 means that the key is missing from the file.
func newFault(line int, sectionName, key, message string) Fault {
	return section.NewFault(line, "["+sectionName+"] "+key+": "+message)
}

// validate returns the faults of Validate with the line numbers of their keys.
func (s Settings) validate(sections []section.Section) []Fault {
	var faults []Fault
	for _, v := range s.Validate() {
		faults = append(faults, newFault(lineOf(sections, v.section, v.key), v.section, v.key, v.message))
	}
	return faults
}

func lineOf(sections []section.Section, sectionName, key string) int {
	for _, s := range sections {
		if k, ok := s.Key(key); ok && s.Name() == sectionName {
			return k.Line()
		}
	}
	return 0
}
