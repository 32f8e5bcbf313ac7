package rollout

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"dandelionrail.org/rail"
)

// evidence is the value of a FactEvidence: what its origin has counted and
// where it stands. Its text form is a line of fields, because every entry reads
// those of all others each second:
//
//	domain step startMs old new1 new2 ... [offset verdict]
//
// with counts as total,failed,slow and the verdict as JSON.
type evidence struct {
	domain  rail.Domain
	step    int
	start   time.Time
	tally   tally
	steps   int
	verdict *verdict
	offset  rail.Offset
}

// verdictMark stands before the offset and the verdict.
const verdictMark = " @"

// text returns the value in the text form of the fact.
func (e evidence) text() string {
	b := make([]byte, 0, 128)
	b = append(b, e.domain...)
	b = strconv.AppendInt(append(b, ' '), int64(e.step), 10)
	b = strconv.AppendInt(append(b, ' '), e.start.UnixMilli(), 10)
	b = appendCounts(b, e.tally.old)
	for _, c := range e.tally.steps[:e.steps] {
		b = appendCounts(b, c)
	}
	if e.verdict != nil {
		b = append(b, verdictMark...)
		b = strconv.AppendInt(b, int64(e.offset), 10)
		b = append(append(b, ' '), e.verdict.body()...)
	}
	return string(b)
}

func appendCounts(b []byte, c counts) []byte {
	b = strconv.AppendInt(append(b, ' '), int64(c.total), 10)
	b = strconv.AppendInt(append(b, ','), int64(c.failed), 10)
	return strconv.AppendInt(append(b, ','), int64(c.slow), 10)
}

// parseEvidence returns false for a value that this version of the program can't read.
func parseEvidence(text string) (evidence, bool) {
	var e evidence
	text, end, found := strings.Cut(text, verdictMark)
	if found {
		offset, body, _ := strings.Cut(end, " ")
		n, err := strconv.ParseInt(offset, 10, 64)
		e.offset, e.verdict = rail.Offset(n), &verdict{}
		if err != nil || json.Unmarshal([]byte(body), e.verdict) != nil {
			return e, false
		}
	}
	r := reader{rest: text, ok: true}
	e.domain = rail.Domain(r.field())
	e.step = r.number()
	e.start = time.UnixMilli(int64(r.number()))
	e.tally.old = r.counts()
	for ; r.rest != "" && e.steps < maxSteps; e.steps++ {
		e.tally.steps[e.steps] = r.counts()
	}
	return e, r.ok && r.rest == "" && e.step >= 0 && e.domain != ""
}

// reader takes fields off the front of a line.
type reader struct {
	rest string
	ok   bool
}

func (r *reader) field() string {
	f, rest, _ := strings.Cut(r.rest, " ")
	r.rest = rest
	return f
}

func (r *reader) number() int { return r.parse(r.field()) }

func (r *reader) counts() counts {
	total, rest, _ := strings.Cut(r.field(), ",")
	failed, slow, _ := strings.Cut(rest, ",")
	return counts{total: r.parse(total), failed: r.parse(failed), slow: r.parse(slow)}
}

func (r *reader) parse(digits string) int {
	n, err := strconv.Atoi(digits)
	r.ok = r.ok && err == nil
	return n
}

// evidence returns this entry's value.
func (r *route) evidence(domain rail.Domain, steps int) evidence {
	e := evidence{domain: domain, step: r.step, start: r.start, tally: r.mine, steps: steps}
	if r.standing.verdict.Outcome != OutcomeNone {
		v := r.standing.verdict
		e.verdict, e.offset = &v, r.standing.offset
	}
	return e
}
