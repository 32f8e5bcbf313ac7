package blocklist

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestVerdicts(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	l := New()
	l.Add(NewEntry([]string{"b", "a"}, start.Add(time.Minute)))
	l.Add(NewEntry([]string{"c"}, start.Add(2*time.Minute)))
	for _, c := range []struct {
		name    string
		keys    []string
		after   time.Duration
		refused bool
		wait    time.Duration
		trials  []string // The keys of the entries, with a star if they have expired.
	}{
		{"none of them", []string{"d"}, 0, false, 0, nil},
		{"a part alone", []string{"c", "d"}, 0, true, 2 * time.Minute, nil},
		{"one of two parts", []string{"d", "b"}, 0, false, 0, []string{"a"}},
		{"both parts", []string{"a", "b"}, 0, true, time.Minute, nil},
		{"both parts later", []string{"b", "a"}, time.Minute, false, 0, []string{"a*"}},
		{"one of two parts later", []string{"a"}, time.Minute, false, 0, []string{"a"}},
		{"one of two parts and another one", []string{"a", "c"}, 0, true, 2 * time.Minute, []string{"a"}},
		{"all parts later", []string{"a", "b", "c"}, 3 * time.Minute, false, 0, []string{"a*", "c*"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			v := l.Check(c.keys, start.Add(c.after))
			wait, refused := v.Refused()
			is.Equal(refused, c.refused)
			is.Equal(wait, c.wait)
			var trials []string
			for _, x := range v.Trials() {
				key := x.Entry().Key()
				if x.Expired() {
					key += "*"
				}
				trials = append(trials, key)
			}
			is.Equal(trials, c.trials)
		})
	}
}

// Guards against sound requests being refused for what all crashes have in common, although each crash had another suspect.
func TestRequestsWithNoneOfTheAlternativesAreTriedOut(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	for _, c := range []struct {
		name         string
		alternatives [][]string // Of each crash.
		keys         []string
		after        time.Duration
		refused      bool
		trials       int
	}{
		{"no crash with others", [][]string{nil, nil, nil}, []string{"a", "b"}, 0, true, 0},
		{"no alternatives known", nil, []string{"a", "b"}, 0, true, 0},
		{"each crash with another one", [][]string{{"x"}, {"y"}, {"x"}, {"y"}}, []string{"a", "b", "c"}, 0, false, 1},
		{"each crash with another one, which the request holds", [][]string{{"x"}, {"y"}, {"x"}, {"y"}}, []string{"a", "b", "x"}, 0, true, 0},
		{"a crash without others", [][]string{{"x"}, nil, {"x"}}, []string{"a", "b"}, 0, false, 1},
		{"two crashes without others", [][]string{{"x"}, nil, {"x"}, nil}, []string{"a", "b"}, 0, true, 0},
		{"a single crash, without others", [][]string{nil}, []string{"a", "b"}, 0, true, 0},
		{"a request with one member", [][]string{{"x"}, {"y"}}, []string{"a", "x"}, 0, false, 1},
		{"a request with an alternative after the time", [][]string{{"x"}, {"y"}}, []string{"a", "b", "x"}, time.Minute, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := New()
			l.Add(NewEntry([]string{"a", "b"}, start.Add(time.Minute)).WithAlternatives(c.alternatives))
			v := l.Check(c.keys, start.Add(c.after))
			_, refused := v.Refused()
			is.Equal(refused, c.refused)
			is.Equal(len(v.Trials()), c.trials)
		})
	}
}

func TestEntriesAreListedOnce(t *testing.T) {
	is := is.New(t)
	l := New()
	l.Add(NewEntry([]string{"b", "a"}, time.Time{}))
	l.Add(NewEntry([]string{"c"}, time.Time{}))
	is.Equal(l.Len(), 3)
	is.Equal(len(l.Entries()), 2)
	is.Equal(l.Entry("b").Members(), []string{"a", "b"})
	is.Equal(l.Entry("d"), nil)
}

func TestSuspectsThatCrashesTellApart(t *testing.T) {
	for _, c := range []struct {
		name          string
		first, second []int
		alike         bool
	}{
		{"the same crashes", []int{1, 2, 3}, []int{1, 2, 3}, true},
		{"one more", []int{1, 2, 3, 4}, []int{1, 2, 3}, true},
		{"two more", []int{1, 2, 3, 4, 5}, []int{1, 2, 3}, false},
		{"other crashes", []int{1, 2, 3}, []int{4, 5, 6}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is.New(t).Equal(Alike(c.first, func(crash int) bool { return slices.Contains(c.second, crash) }), c.alike)
		})
	}
}
