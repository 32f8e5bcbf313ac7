package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	maxLineBytes   = 1 << 20
	maxLines       = 1 << 20
	maxPromptWords = 1 << 16
	maxTokens      = 1 << 16
	maxCopies      = 16
	maxOffsetMs    = 24 * 60 * 60 * 1000
)

// The types of lines.
const (
	lineTrace   = "trace"
	lineRequest = "request"
	lineFault   = "fault"
)

// line is one line of a trace.
type line struct {
	Type     string          `json:"type"`
	Name     string          `json:"name,omitempty"`
	User     string          `json:"user,omitempty"`
	Seed     uint64          `json:"seed,omitempty"`
	OffsetMs int64           `json:"offsetMs"`
	Team     string          `json:"team,omitempty"`
	Token    string          `json:"token,omitempty"`
	Kind     string          `json:"kind,omitempty"`
	Route    string          `json:"route,omitempty"`
	Model    string          `json:"model,omitempty"`
	Prompt   *promptLine     `json:"prompt,omitempty"`
	Tokens   int             `json:"maxTokens,omitempty"`
	Path     string          `json:"path,omitempty"`
	Body     string          `json:"body,omitempty"`
	Claim    Claim           `json:"claim,omitempty"`
	Copies   int             `json:"copies,omitempty"`
	HoldMs   int64           `json:"holdMs,omitempty"`
	Outcome  Outcome         `json:"outcome,omitempty"`
	Instance string          `json:"instance,omitempty"`
	NoticeMs int64           `json:"noticeMs,omitempty"`
	Control  json.RawMessage `json:"control,omitempty"`
}

type promptLine struct {
	Shared      uint64 `json:"shared"`
	SharedWords int    `json:"sharedWords"`
	Own         uint64 `json:"own"`
	OwnWords    int    `json:"ownWords"`
}

// Read reads a trace and validates every line.
func Read(r io.Reader) (Trace, error) {
	var t Trace
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLineBytes)
	n := 0
	for s.Scan() {
		n++
		if n > maxLines {
			return Trace{}, errors.Errorf("line %d: the trace is too long", n)
		}
		if len(bytes.TrimSpace(s.Bytes())) == 0 {
			continue
		}
		if err := t.addLine(s.Bytes()); err != nil {
			return Trace{}, errors.Wrapf(err, "line %d", n)
		}
	}
	if err := s.Err(); err != nil {
		return Trace{}, errors.Wrapf(err, "line %d", n+1)
	}
	if t.name == "" {
		return Trace{}, errors.New("the trace is empty")
	}
	slices.SortStableFunc(t.requests, func(a, b Request) int { return int(a.offset - b.offset) })
	slices.SortStableFunc(t.faults, func(a, b Fault) int { return int(a.offset - b.offset) })
	return t, nil
}

// addLine decodes, validates and adds one line.
func (t *Trace) addLine(text []byte) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	var l line
	if err := d.Decode(&l); err != nil {
		return errors.Wrap(err, "decode")
	}
	if _, err := d.Token(); err != io.EOF {
		return errors.New("more than one value")
	}
	if l.OffsetMs < 0 || l.OffsetMs > maxOffsetMs {
		return errors.New("offsetMs is out of range")
	}
	if (l.Type == lineTrace) != (t.name == "") {
		return errors.New("a line of type trace must come first, and only there")
	}
	switch l.Type {
	case lineTrace:
		if l.Name == "" {
			return errors.New("name is required")
		}
		t.name, t.user, t.seed = l.Name, l.User, l.Seed
		return nil
	case lineRequest:
		return t.addRequest(l)
	case lineFault:
		return t.addFault(l)
	}
	return errors.Errorf("unknown type %q", l.Type)
}

func (t *Trace) addRequest(l line) error {
	if err := l.checkRequest(); err != nil {
		return err
	}
	r := Request{
		offset:    milliseconds(l.OffsetMs),
		caller:    NewCaller(l.Team, l.Token),
		kind:      Kind(l.Kind),
		route:     l.Route,
		model:     l.Model,
		maxTokens: l.Tokens,
		path:      l.Path,
		body:      l.Body,
		claim:     l.Claim,
		copies:    l.Copies,
		hold:      milliseconds(l.HoldMs),
		outcome:   l.Outcome,
	}
	if p := l.Prompt; p != nil {
		r.prompt = NewPrompt(p.Shared, p.SharedWords, p.Own, p.OwnWords)
	}
	t.requests = append(t.requests, r)
	return nil
}

// checkRequest checks the fields of a request line.
func (l line) checkRequest() error {
	if l.Copies < 0 || l.Copies > maxCopies || l.Copies > 0 && Kind(l.Kind) != Order {
		return errors.New("copies is for orders and out of range")
	}
	if l.HoldMs < 0 || l.HoldMs > maxOffsetMs || l.HoldMs > 0 && l.Claim != ByTicket {
		return errors.New("holdMs is for orders with a ticket and out of range")
	}
	switch Kind(l.Kind) {
	case Stream:
		return l.checkStream()
	case Lookup:
		return l.checkCall(Complete, CompleteOrResent, Refused)
	case Order:
		if l.Claim != ByTicket && l.Claim != ByKey {
			return errors.Errorf("unknown claim %q", l.Claim)
		}
		return l.checkCall(ExactlyOnce, AtMostOnce, Refused)
	}
	return errors.Errorf("unknown kind %q", l.Kind)
}

func (l line) checkStream() error {
	p := l.Prompt
	switch {
	case l.Model == "" || p == nil:
		return errors.New("a stream needs model and prompt")
	case l.Tokens <= 0 || l.Tokens > maxTokens:
		return errors.New("maxTokens is out of range")
	case !validWordCount(p.SharedWords) || !validWordCount(p.OwnWords):
		return errors.New("the prompt's length is out of range")
	}
	return l.checkOutcome(Complete, CompleteOrResent, Refused)
}

func validWordCount(words int) bool { return words >= 0 && words <= maxPromptWords }

func (l line) checkCall(allowed ...Outcome) error {
	if l.Route == "" || len(l.Path) == 0 || l.Path[0] != '/' {
		return errors.New("a call needs a route and a path that starts with a slash")
	}
	return l.checkOutcome(allowed...)
}

func (l line) checkOutcome(allowed ...Outcome) error {
	if !slices.Contains(allowed, l.Outcome) {
		return errors.Errorf("outcome %q can not be stated for a %s", l.Outcome, l.Kind)
	}
	return nil
}

func (t *Trace) addFault(l line) error {
	f := Fault{
		offset:   milliseconds(l.OffsetMs),
		kind:     FaultKind(l.Kind),
		instance: l.Instance,
		notice:   milliseconds(l.NoticeMs),
		control:  l.Control,
	}
	switch f.kind {
	case Reclaim, Kill, Terminate, Stop, Continue, ControlInstance:
		if f.instance == "" {
			return errors.New("instance is required")
		}
	case ControlPlatform:
	default:
		return errors.Errorf("unknown kind %q", l.Kind)
	}
	if l.NoticeMs < 0 || l.NoticeMs > maxOffsetMs {
		return errors.New("noticeMs is out of range")
	}
	if (f.kind == ControlPlatform || f.kind == ControlInstance) != (len(f.control) > 0) {
		return errors.New("control is required for the faults platform and instance, and only there")
	}
	t.faults = append(t.faults, f)
	return nil
}

// Write writes a trace, requests and faults in order of their offsets.
func Write(w io.Writer, t Trace) error {
	b := bufio.NewWriter(w)
	e := json.NewEncoder(b)
	if err := e.Encode(line{Type: lineTrace, Name: t.name, User: t.user, Seed: t.seed}); err != nil {
		return errors.Wrap(err, "encode the head")
	}
	faults := t.faults
	for _, r := range t.requests {
		for len(faults) > 0 && faults[0].offset <= r.offset {
			if err := e.Encode(faults[0].line()); err != nil {
				return errors.Wrap(err, "encode a fault")
			}
			faults = faults[1:]
		}
		if err := e.Encode(r.line()); err != nil {
			return errors.Wrap(err, "encode a request")
		}
	}
	for _, f := range faults {
		if err := e.Encode(f.line()); err != nil {
			return errors.Wrap(err, "encode a fault")
		}
	}
	return errors.Wrap(b.Flush(), "write")
}

func (r Request) line() line {
	l := line{
		Type:     lineRequest,
		OffsetMs: r.offset.Milliseconds(),
		Team:     r.caller.team,
		Token:    r.caller.token,
		Kind:     string(r.kind),
		Route:    r.route,
		Model:    r.model,
		Tokens:   r.maxTokens,
		Path:     r.path,
		Body:     r.body,
		Claim:    r.claim,
		Copies:   r.copies,
		HoldMs:   r.hold.Milliseconds(),
		Outcome:  r.outcome,
	}
	if r.kind == Stream {
		p := r.prompt
		l.Prompt = &promptLine{Shared: p.shared, SharedWords: p.sharedWords, Own: p.own, OwnWords: p.ownWords}
	}
	return l
}

func (f Fault) line() line {
	return line{
		Type:     lineFault,
		OffsetMs: f.offset.Milliseconds(),
		Kind:     string(f.kind),
		Instance: f.instance,
		NoticeMs: f.notice.Milliseconds(),
		Control:  f.control,
	}
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
