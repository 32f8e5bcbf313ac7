package runend

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against an attempt that is aborted although the end of its run will not be seen, so that its request is lost.
func TestEndIsObservableOnlyWhereNothingElseWaits(t *testing.T) {
	now := time.Date(2026, time.December, 6, 12, 0, 0, 0, time.UTC)
	sent := NewRun("r-1", now.Add(-2*time.Second))
	streaming := sent.WithEvent(now.Add(-time.Second))
	for _, c := range []struct {
		name  string
		run   Run
		check Check
		want  bool
	}{
		{"lists its runs", sent, NewReport(now, NewRuns([]string{"r-1"}, 0)), true},
		{"lists others", sent, NewReport(now, NewRuns([]string{"r-0"}, 0)), false},
		{"lists others, there was an event", streaming, NewReport(now, NewRuns([]string{"r-0"}, 0)), true},
		{"requests wait", sent, NewReport(now, NewRuns([]string{"r-1"}, 2)), false},
		{"lists some of its runs", sent, NewReport(now, NewRuns([]string{"r-1"}, 0).Partial()), false},
		{"lists none", streaming, NewReport(now, Report{}), false},
		{"old report", sent, NewReport(now.Add(-2*time.Second), NewRuns([]string{"r-1"}, 0)), false},
		{"refused", streaming, NewCheck(now, Refused), false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h History
			h.Record(c.check)
			is.New(t).Equal(h.Observable(c.run, now.Add(-time.Second)), c.want)
		})
	}
}

// Guards against a run that counts as ended while it may be in progress.
func TestEndingOfARun(t *testing.T) {
	start := time.Date(2026, time.December, 6, 12, 0, 0, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	sent := NewRun("r-1", at(0))
	streaming := sent.WithEvent(at(100))
	listed, other, without := NewRuns([]string{"r-0", "r-1"}, 0), NewRuns([]string{"r-0"}, 0), Report{}
	for _, c := range []struct {
		name   string
		run    Run
		checks []Check
		want   Ending
	}{
		{"nothing known", streaming.BrokenOff(at(2000)), nil, Unseen},
		{"listed", streaming.BrokenOff(at(2000)), []Check{NewReport(at(2010), NewRuns([]string{"r-0", "r-1"}, 0))}, Unseen},
		{"not listed any more", streaming.BrokenOff(at(2000)), []Check{NewReport(at(2010), listed), NewReport(at(2110), other)}, Unlisted},
		{"not listed any more, others wait", streaming.BrokenOff(at(2000)), []Check{NewReport(at(2010), listed), NewReport(at(2110), NewRuns([]string{"r-0"}, 1))}, Unseen},
		{"not listed any more, was before the end of the attempt", streaming.BrokenOff(at(2000)), []Check{NewReport(at(1500), listed), NewReport(at(2010), other)}, Unlisted},
		{"not listed any more, report from before the end of the attempt", streaming.BrokenOff(at(2000)), []Check{NewReport(at(1500), listed), NewReport(at(1990), other)}, Unseen},
		{"not listed by one report", streaming.BrokenOff(at(2000)), []Check{NewReport(at(2010), other)}, Unseen},
		{"not listed by the report after one that was answered at once", streaming.BrokenOff(at(2000)), []Check{NewReport(at(2010), other), NewReport(at(2510), other)}, Unlisted},
		{"not listed by the report after a pause", streaming.BrokenOff(at(2000)), []Check{NewReport(at(2010), other).WithEnd(at(3500)), NewReport(at(3510), other)}, Unseen},
		{"not listed by the report that follows", streaming.BrokenOff(at(2000)), []Check{NewReport(at(2010), other).WithEnd(at(3500)), NewReport(at(3510), other), NewReport(at(4010), other)}, Unlisted},
		{"not listed, others wait", streaming.BrokenOff(at(2000)), []Check{NewReport(at(2010), other), NewReport(at(2510), NewRuns([]string{"r-0"}, 1))}, Unseen},
		{"not listed, report older than the first event", streaming.BrokenOff(at(200)), []Check{NewReport(at(210), NewRuns(nil, 0))}, Unseen},
		{"not listed, the request may have waited", sent.BrokenOff(at(2000)), []Check{NewReport(at(2010), NewRuns(nil, 0))}, Unseen},
		{"not listed, the request may not have been read", sent.BrokenOff(at(2000)), []Check{NewReport(at(2010), other), NewReport(at(9000), other), NewReport(at(9600), other)}, Unseen},
		{"listed once it was read, not any more", sent.BrokenOff(at(2000)), []Check{NewReport(at(2010), other), NewReport(at(3500), listed), NewReport(at(4510), other)}, Unlisted},
		{"not listed any more, another request had the id", NewRun("r-1", at(1000)).BrokenOff(at(2000)), []Check{NewReport(at(900), listed), NewReport(at(2010), other)}, Unseen},
		{"not listed, others are not either", streaming.BrokenOff(at(2000)), []Check{NewReport(at(2010), listed), NewReport(at(2110), other.Partial())}, Unseen},
		{"in progress, not listed", streaming, []Check{NewReport(at(1010), other), NewReport(at(2010), NewRuns(nil, 0))}, Unlisted},
		{"in progress, not listed, others wait", streaming, []Check{NewReport(at(1010), other), NewReport(at(2010), NewRuns(nil, 1))}, Unseen},
		{"in progress without an event, not listed", sent, []Check{NewReport(at(2010), NewRuns(nil, 0))}, Unseen},
		{"refused", streaming.BrokenOff(at(2000)), []Check{NewCheck(at(2010), Refused)}, Gone},
		{"refused before the request was sent", sent.BrokenOff(at(20)), []Check{NewCheck(at(-10), Refused)}, Unseen},
		{"refused, connection aborted", streaming.Aborted(at(2000)), []Check{NewCheck(at(2010), Refused)}, Unseen},
		{"refused, connection timed out", streaming.TimedOut(at(2000)), []Check{NewCheck(at(2010), Refused)}, Gone},
		{"one timeout", streaming.BrokenOff(at(2000)), []Check{NewCheck(at(2010), TimedOut)}, Unseen},
		{"two timeouts", streaming.BrokenOff(at(2000)), []Check{NewCheck(at(2010), TimedOut), NewCheck(at(2310), TimedOut)}, Unreachable},
		{"one timeout, connection timed out", streaming.TimedOut(at(2000)), []Check{NewCheck(at(2010), TimedOut)}, Unreachable},
		{"timeouts, connection open", streaming, []Check{NewCheck(at(2010), TimedOut), NewCheck(at(2310), TimedOut), NewCheck(at(2610), TimedOut)}, Unseen},
		{"no answer", streaming.BrokenOff(at(2000)), []Check{NewCheck(at(2010), NoAnswer), NewCheck(at(4010), NoAnswer)}, Unseen},
		{"report without runs", streaming.BrokenOff(at(2000)), []Check{NewReport(at(2010), without)}, Closed},
		{"report without runs, the request may not have been read", sent.BrokenOff(at(2000)), []Check{NewReport(at(2010), without), NewReport(at(9000), without)}, Unseen},
		{"report without runs before the end of the connection", streaming.BrokenOff(at(2000)), []Check{NewReport(at(1990), without)}, Unseen},
		{"report without runs, connection aborted", streaming.Aborted(at(2000)), []Check{NewReport(at(2010), without)}, Unseen},
		{"refused while the stream went on", streaming.BrokenOff(at(9000)), []Check{NewCheck(at(2000), Refused)}, Unseen},
		{"refused once, listed since", streaming.BrokenOff(at(9000)), []Check{NewCheck(at(2000), Refused), NewReport(at(8000), NewRuns([]string{"r-1"}, 0))}, Unseen},
		{"timeouts while the stream went on", streaming.BrokenOff(at(9000)), []Check{NewCheck(at(2000), TimedOut), NewCheck(at(2400), TimedOut)}, Unseen},
		{"preempted at the time of the report, has gone on since", streaming.BrokenOff(at(9000)), []Check{NewReport(at(2000), NewRuns([]string{"r-0"}, 1))}, Unseen},
		{"listed, then an answer that is no report", streaming.BrokenOff(at(9000)), []Check{NewReport(at(9010), NewRuns([]string{"r-1"}, 0)), NewReport(at(9200), Report{})}, Unseen},
		{"the request may still wait", sent.BrokenOff(at(9000)), []Check{NewReport(at(9600), NewRuns([]string{"r-0"}, 1))}, Unseen},
		{"report without runs, connection timed out", streaming.TimedOut(at(2000)), []Check{NewReport(at(2010), without)}, Unseen},
	} {
		t.Run(c.name, func(t *testing.T) {
			var h History
			for _, check := range c.checks {
				h.Record(check)
			}
			is.New(t).Equal(h.Ending(c.run), c.want)
		})
	}
}

// Guards against an engine that lists other runs in each report, whose ids fill the memory of a gateway.
func TestListedRunsAreBounded(t *testing.T) {
	start := time.Date(2026, time.December, 6, 12, 0, 0, 0, time.UTC)
	var h History
	const runs = 1000
	for n := range 3 * maxListed / runs {
		ids := make([]string, runs)
		for i := range ids {
			ids[i] = strconv.Itoa(n*runs + i)
		}
		h.Record(NewReport(start.Add(time.Duration(n)*100*time.Millisecond), NewRuns(ids, 0)))
	}
	is.New(t).True(len(h.listedAt) <= maxListed+runs)
}
