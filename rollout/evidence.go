package rollout

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"dandelionrail.org/rail"
)

// evidence is the value of a FactEvidence: the counts of its origin, its step
// and its verdict. Its text form is a line of fields, which is fast to parse,
// because every entry reads those of all others each second:
//
//	domain step startMs old new1 new2 ... [offset verdict]
//
// Each count has the form total,failed,slow; the verdict is JSON.
type evidence struct {
	domain    rail.Domain
	step      int
	startedAt time.Time
	tally     tally
	stepCount int
	verdict   *verdict
	offset    rail.Offset
}

// verdictSeparator separates the offset and the verdict from the counts.
const verdictSeparator = " @"

// text encodes the evidence as the value of its fact.
func (e evidence) text() string {
	b := make([]byte, 0, 128)
	b = append(b, e.domain...)
	b = strconv.AppendInt(append(b, ' '), int64(e.step), 10)
	b = strconv.AppendInt(append(b, ' '), e.startedAt.UnixMilli(), 10)
	b = appendCounts(b, e.tally.oldVersion)
	for _, c := range e.tally.steps[:e.stepCount] {
		b = appendCounts(b, c)
	}
	if e.verdict != nil {
		b = append(b, verdictSeparator...)
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

// parseEvidence returns false for a value that this version of the program can't parse.
func parseEvidence(text string) (evidence, bool) {
	var e evidence
	text, end, found := strings.Cut(text, verdictSeparator)
	if found {
		offset, body, _ := strings.Cut(end, " ")
		n, err := strconv.ParseInt(offset, 10, 64)
		e.offset, e.verdict = rail.Offset(n), &verdict{}
		if err != nil || json.Unmarshal([]byte(body), e.verdict) != nil {
			return e, false
		}
	}
	r := fieldReader{rest: text, ok: true}
	e.domain = rail.Domain(r.field())
	e.step = r.number()
	e.startedAt = time.UnixMilli(int64(r.number()))
	e.tally.oldVersion = r.counts()
	for ; r.rest != "" && e.stepCount < maxSteps; e.stepCount++ {
		e.tally.steps[e.stepCount] = r.counts()
	}
	return e, r.ok && r.rest == "" && e.step >= 0 && e.domain != ""
}

// fieldReader reads the fields of a line in order; ok is false after an error.
type fieldReader struct {
	rest string
	ok   bool
}

func (r *fieldReader) field() string {
	field, rest, _ := strings.Cut(r.rest, " ")
	r.rest = rest
	return field
}

func (r *fieldReader) number() int { return r.parse(r.field()) }

func (r *fieldReader) counts() counts {
	total, rest, _ := strings.Cut(r.field(), ",")
	failed, slow, _ := strings.Cut(rest, ",")
	return counts{total: r.parse(total), failed: r.parse(failed), slow: r.parse(slow)}
}

func (r *fieldReader) parse(digits string) int {
	n, err := strconv.Atoi(digits)
	r.ok = r.ok && err == nil
	return n
}

// evidence returns this entry's evidence.
func (state *rolloutState) evidence(domain rail.Domain, stepCount int) evidence {
	e := evidence{domain: domain, step: state.step, startedAt: state.startedAt, tally: state.own, stepCount: stepCount}
	if state.standing.verdict.Outcome != OutcomeNone {
		v := state.standing.verdict
		e.verdict, e.offset = &v, state.standing.offset
	}
	return e
}
