package platform

import (
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail/standin"
)

// registrationTTL is how long an instance stays in the list without a renewed registration.
const registrationTTL = 5 * time.Second

const (
	stateLive    = "live"
	stateLeaving = "leaving"
)

// registration is one instance in the list.
type registration struct {
	ID            string `json:"id"`
	Incarnation   string `json:"incarnation"`
	Domain        string `json:"domain"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	PeerAddress   string `json:"peerAddress"`
	Serves        string `json:"serves"`
	Version       string `json:"version"`
	Class         string `json:"class"`
	ChecksFencing bool   `json:"checksFencing"`
	State         string `json:"state"`
}

// snapshot is the state of the list since a time.
type snapshot struct {
	since         time.Time
	registrations []registration
}

// instanceList is the list of registered instances; readers see it with a lag.
type instanceList struct {
	mu            sync.Mutex
	lag           time.Duration
	registrations map[string]registration
	expiresAt     map[string]time.Time
	terminated    map[string]bool
	leaving       map[string]bool
	snapshots     []snapshot
}

func newInstanceList(lag time.Duration) *instanceList {
	return &instanceList{
		lag:           lag,
		registrations: map[string]registration{},
		expiresAt:     map[string]time.Time{},
		terminated:    map[string]bool{},
		leaving:       map[string]bool{},
		snapshots:     []snapshot{{}},
	}
}

func (l *instanceList) setLag(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lag = d
}

// extend prolongs the registrations past the end of an outage, during which none can be renewed.
func (l *instanceList) extend(outageUntil time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id, t := range l.expiresAt {
		if u := outageUntil.Add(registrationTTL); u.After(t) {
			l.expiresAt[id] = u
		}
	}
}

// put registers the instance; it reports false if the cloud has terminated it.
func (l *instanceList) put(r registration, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	if l.terminated[r.ID] {
		return false
	}
	if l.leaving[r.ID] {
		r.State = stateLeaving
	}
	l.expiresAt[r.ID] = now.Add(registrationTTL)
	if l.registrations[r.ID] != r {
		l.registrations[r.ID] = r
		l.recordSnapshot(now)
	}
	return true
}

func (l *instanceList) remove(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.drop(id, now)
}

// terminate removes an instance and refuses later registrations of it, as after a reclaim.
func (l *instanceList) terminate(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.terminated[id] = true
	l.drop(id, now)
}

// markLeaving lists the instance as leaving, also after later registrations.
func (l *instanceList) markLeaving(id string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leaving[id] = true
	if r, ok := l.registrations[id]; ok {
		r.State = stateLeaving
		l.registrations[id] = r
		l.recordSnapshot(now)
	}
}

// drop removes an instance; l.mu must be held.
func (l *instanceList) drop(id string, now time.Time) {
	if _, ok := l.registrations[id]; !ok {
		return
	}
	delete(l.registrations, id)
	delete(l.expiresAt, id)
	l.recordSnapshot(now)
}

// expire removes the instances whose registration has expired; l.mu must be held.
func (l *instanceList) expire(now time.Time) {
	for id, t := range l.expiresAt {
		if now.After(t) {
			l.drop(id, now)
		}
	}
}

// recordSnapshot adds a snapshot of the list and drops those that no reader can see any more; l.mu must be held.
func (l *instanceList) recordSnapshot(now time.Time) {
	rs := slices.Collect(maps.Values(l.registrations))
	slices.SortFunc(rs, func(a, b registration) int {
		if a.ID < b.ID {
			return -1
		}
		return 1
	})
	l.snapshots = append(l.snapshots, snapshot{since: now, registrations: rs})
	visible := l.visibleIndex(now)
	l.snapshots = l.snapshots[visible:]
}

// visibleIndex returns the index of the newest snapshot that is at least as old as the lag; l.mu must be held.
func (l *instanceList) visibleIndex(now time.Time) int {
	i := len(l.snapshots) - 1
	for i > 0 && l.snapshots[i].since.After(now.Add(-l.lag)) {
		i--
	}
	return i
}

// read returns the list as of the lag ago.
func (l *instanceList) read(now time.Time) []registration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	return l.snapshots[l.visibleIndex(now)].registrations
}

// current returns the list without the lag.
func (l *instanceList) current(now time.Time) []registration {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
	return slices.Collect(maps.Values(l.registrations))
}

type listAnswer struct {
	AsOfMs    int64          `json:"asOfMs"`
	Instances []registration `json:"instances"`
}

func (p *Server) getInstances(c echo.Context) error {
	now := time.Now()
	rs := p.list.read(now)
	if rs == nil {
		rs = []registration{}
	}
	return c.JSON(http.StatusOK, listAnswer{AsOfMs: now.Add(-p.list.currentLag()).UnixMilli(), Instances: rs})
}

func (l *instanceList) currentLag() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lag
}

func (p *Server) putInstance(c echo.Context) error {
	var r registration
	if err := standin.Decode(c, &r); err != nil {
		return err
	}
	r.ID = c.Param("id")
	if r.Address == "" || r.Domain == "" || r.Role == "" {
		return c.JSON(http.StatusBadRequest, problem{Reason: "address, domain and role are required"})
	}
	if r.State == "" {
		r.State = stateLive
	}
	if !p.list.put(r, time.Now()) {
		return c.JSON(http.StatusGone, problem{Reason: "reclaimed"})
	}
	return c.NoContent(http.StatusNoContent)
}

func (p *Server) deleteInstance(c echo.Context) error {
	p.list.remove(c.Param("id"), time.Now())
	return c.NoContent(http.StatusNoContent)
}
