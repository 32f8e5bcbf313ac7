package concurrency

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestLimitRisesWithAnswersAndFallsWithFailures(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000_000, 0)
	l := New(1, start)
	is.True(l.Allows(0))
	is.True(!l.Allows(1))
	for range 5 {
		l.Answered()
	}
	is.True(l.Allows(5))
	is.True(!l.Allows(6))
	l.Failed(start)
	is.True(l.Allows(2))
	is.True(!l.Allows(3))
	for range 3 {
		l.Failed(start)
	}
	is.True(l.Allows(0)) // One request may always be sent.
	is.True(!l.Allows(1))
}

func TestLimitIsLifted(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1_000_000, 0)
	l := New(1, start)
	is.True(!l.Lifted(start))
	is.True(l.Lifted(start.Add(quietTime)))
	l.Failed(start.Add(time.Second))
	is.True(!l.Lifted(start.Add(quietTime)))
	for range enough {
		l.Answered()
	}
	is.True(l.Lifted(start.Add(time.Second)))
}
