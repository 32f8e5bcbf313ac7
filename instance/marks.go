package instance

import "dandelionrail.org/rail"

// anyIncarnation marks an instance that was reported as leaving before its incarnation was known.
const anyIncarnation rail.Incarnation = ""

// marks is a set of incarnations, those that are leaving or those that were replaced. A mark is
// cleared only with all others of its instance, markRetention after the instance was forgotten.
type marks map[rail.InstanceID]map[rail.Incarnation]bool

// add marks the incarnation and reports whether it was unmarked before.
func (m marks) add(id rail.InstanceID, n rail.Incarnation) bool {
	if m[id][n] {
		return false
	}
	if m[id] == nil {
		m[id] = map[rail.Incarnation]bool{}
	}
	m[id][n] = true
	return true
}

// bind transfers a mark of an unknown incarnation to the first incarnation that is observed.
func (m marks) bind(id rail.InstanceID, n rail.Incarnation) {
	if m[id][anyIncarnation] {
		delete(m[id], anyIncarnation)
		m[id][n] = true
	}
}

func (m marks) has(id rail.InstanceID, n rail.Incarnation) bool { return m[id][n] }
