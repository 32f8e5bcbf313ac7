package rollout

// counts are numbers of requests by result; slow requests did not fail.
type counts struct {
	total  int
	failed int
	slow   int
}

func (c counts) plus(o counts) counts {
	return counts{total: c.total + o.total, failed: c.failed + o.failed, slow: c.slow + o.slow}
}

func (c counts) minus(o counts) counts {
	return counts{total: c.total - o.total, failed: c.failed - o.failed, slow: c.slow - o.slow}
}

// answered returns the number of requests that did not fail.
func (c counts) answered() int { return c.total - c.failed }

// atLeast reports whether no count is below the earlier value.
func (c counts) atLeast(earlier counts) bool {
	return c.total >= earlier.total && c.failed >= earlier.failed && c.slow >= earlier.slow
}

// maxSteps is the maximum number of steps of a share ladder.
const maxSteps = 8

// tally is the counts of one rollout, those of the new version by step.
type tally struct {
	oldVersion counts
	steps      [maxSteps]counts
}

// newVersion returns the counts of the new version over all steps.
func (t tally) newVersion() counts {
	var sum counts
	for _, c := range t.steps {
		sum = sum.plus(c)
	}
	return sum
}
