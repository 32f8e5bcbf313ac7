package section

import (
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"
)

// Fault is one error in a text, with a message that says what to change.
type Fault struct {
	line    int
	message string
}

// NewFault returns a fault at a line counted from 1; line 0 stands for the whole text.
func NewFault(line int, message string) Fault { return Fault{line: line, message: message} }

// Line returns the line number counted from 1, or 0 for the whole text.
func (f Fault) Line() int { return f.line }

// Message says what to change.
func (f Fault) Message() string { return f.message }

// String returns the line number and the message.
func (f Fault) String() string { return fmt.Sprintf("line %d: %s", f.line, f.message) }

// Key is one line of the form key = value.
type Key struct {
	name  string
	value string
	line  int
}

// Name returns the text before the equals sign.
func (k Key) Name() string { return k.name }

// Value returns the text after the equals sign.
func (k Key) Value() string { return k.value }

// Line returns the line number counted from 1.
func (k Key) Line() int { return k.line }

// Section is one section with its keys in file order.
type Section struct {
	name string
	line int
	keys []Key
}

// Name returns the text between the brackets.
func (s Section) Name() string { return s.name }

// Line returns the line number of the section header.
func (s Section) Line() int { return s.line }

// Keys returns the keys in file order.
func (s Section) Keys() []Key { return s.keys }

// Key returns the key with the name.
func (s Section) Key(name string) (Key, bool) {
	for _, k := range s.keys {
		if k.name == name {
			return k, true
		}
	}
	return Key{}, false
}

// reader parses a text line by line and collects its sections and faults.
type reader struct {
	sections []Section
	faults   []Fault
	// firstLine holds the line of the first header of each section.
	firstLine map[string]int
	// skipKeys is set after an invalid or repeated header, whose keys belong to no section.
	skipKeys bool
}

// Read returns the sections in file order and all syntax errors.
func Read(source string) ([]Section, []Fault) {
	r := &reader{firstLine: map[string]int{}}
	for n, raw := range strings.Split(source, "\n") {
		r.line(n+1, strings.TrimSpace(raw))
	}
	r.load(source)
	return r.sections, r.faults
}

// load sets the values of all parsed keys from the INI library.
func (r *reader) load(source string) {
	file, err := ini.LoadSources(ini.LoadOptions{KeyValueDelimiters: "=", SkipUnrecognizableLines: true}, []byte(source))
	if err != nil {
		if len(r.faults) == 0 {
			r.fault(0, "the text cannot be read: %v", err)
		}
		return
	}
	for i := range r.sections {
		s := &r.sections[i]
		for j := range s.keys {
			k := &s.keys[j]
			k.value = file.Section(s.name).Key(k.name).Value()
			if k.value == "" {
				r.fault(k.line, "give %s a value before the comment or remove the line", k.name)
			}
		}
	}
}

func (r *reader) fault(line int, format string, args ...any) {
	r.faults = append(r.faults, NewFault(line, fmt.Sprintf(format, args...)))
}

func (r *reader) line(n int, text string) {
	switch {
	case text == "" || text[0] == ';' || text[0] == '#':
	case text[0] == '[':
		r.header(n, text)
	default:
		r.key(n, text)
	}
}

func (r *reader) header(n int, text string) {
	name, ok := strings.CutSuffix(text[1:], "]")
	r.skipKeys = !ok || !isPlainText(name) || strings.ContainsAny(name, "[] ")
	if r.skipKeys {
		r.fault(n, "write a section as [name] with no spaces or brackets in the name")
		return
	}
	if first, ok := r.firstLine[name]; ok {
		r.fault(n, "section [%s] stands already in line %d; keep one of them", name, first)
		r.skipKeys = true
		return
	}
	r.firstLine[name] = n
	r.sections = append(r.sections, Section{name: name, line: n})
}

func (r *reader) key(n int, text string) {
	name, value, ok := strings.Cut(text, "=")
	name, value = strings.TrimSpace(name), strings.TrimSpace(value)
	switch {
	case !ok || !isPlainText(name):
		r.fault(n, "write the line as key = value, or begin a comment with ; or #")
		return
	case value == "":
		r.fault(n, "give %s a value or remove the line", name)
		return
	case !isPlainText(value):
		r.fault(n, "write the value of %s without quotes, backslashes and control characters", name)
		return
	case r.skipKeys:
		return
	case len(r.sections) == 0:
		r.fault(n, "put %s below the head of its section", name)
		return
	}
	s := &r.sections[len(r.sections)-1]
	if first, ok := s.Key(name); ok {
		r.fault(n, "%s stands already in line %d; keep one of them", name, first.line)
		return
	}
	s.keys = append(s.keys, Key{name: name, line: n})
}

// isPlainText reports whether a text is not empty and free of characters that
// INI parsers treat as quotes, line continuations or line ends.
func isPlainText(s string) bool {
	if s == "" || strings.ContainsAny(s, "\"'`\\") {
		return false
	}
	return !slices.ContainsFunc([]rune(s), func(c rune) bool {
		return c < ' ' || c == 0x7f || c == '\u0085' || c == '\u2028' || c == '\u2029' || c == '\ufeff' || c == '\ufffd'
	})
}
