package machine

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"

	"dandelionrail.org/rail"
)

const (
	interval    = time.Second
	callTimeout = 2 * time.Second
)

// registration is one instance as it registers itself.
type registration struct {
	ID            string `json:"id"`
	Incarnation   string `json:"incarnation"`
	Domain        string `json:"domain"`
	Role          string `json:"role"`
	Address       string `json:"address"`
	Serves        string `json:"serves"`
	Version       string `json:"version"`
	Class         string `json:"class"`
	ChecksFencing bool   `json:"checksFencing"`
	State         string `json:"state"`
}

// Hooks are what a machine tells its process.
type Hooks struct {
	// Leaving reports whether the process leaves of itself.
	Leaving func() bool
	// OnNotice tells of a reclaim notice.
	OnNotice func()
	// OnReclaim ends the process, as the cloud does when the notice has run out.
	OnReclaim func()
}

// Registrar is one registered instance.
type Registrar struct {
	platform     string
	client       *http.Client
	hooks        Hooks
	mu           sync.Mutex
	registration registration
}

// New returns an instance of the platform at the URL; Run must be started.
func New(platform string, i rail.Instance, hooks Hooks) *Registrar {
	return &Registrar{
		platform:     platform,
		client:       &http.Client{Timeout: callTimeout},
		hooks:        hooks,
		registration: newRegistration(i),
	}
}

func newRegistration(i rail.Instance) registration {
	return registration{
		ID:            string(i.ID()),
		Incarnation:   string(i.Incarnation()),
		Domain:        string(i.Domain()),
		Role:          string(i.Role()),
		Address:       i.Address(),
		Serves:        i.Serves(),
		Version:       string(i.Version()),
		Class:         string(i.Class()),
		ChecksFencing: i.ChecksFencing(),
	}
}

// SetServing changes what the instance says that it serves.
func (m *Registrar) SetServing(serves, version string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.registration.Serves, m.registration.Version = serves, version
}

// Run repeats the registration until the context ends, then removes it.
func (m *Registrar) Run(ctx context.Context) {
	t := time.NewTicker(interval)
	defer t.Stop()
	noticed := false
	for {
		// An unreachable platform is no fault of this instance: the next beat tries again.
		_ = m.register(ctx)
		if !noticed {
			noticed = m.followNotice(ctx)
		}
		select {
		case <-ctx.Done():
			m.remove(context.WithoutCancel(ctx))
			return
		case <-t.C:
		}
	}
}

func (m *Registrar) register(ctx context.Context) error {
	m.mu.Lock()
	r := m.registration
	m.mu.Unlock()
	r.State = "live"
	if m.hooks.Leaving != nil && m.hooks.Leaving() {
		r.State = "leaving"
	}
	body, err := json.Marshal(r)
	if err != nil {
		return errors.Wrap(err, "encode the registration")
	}
	return m.call(ctx, http.MethodPut, "/instances/"+url.PathEscape(r.ID), body, nil)
}

func (m *Registrar) remove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = m.call(ctx, http.MethodDelete, "/instances/"+url.PathEscape(m.registration.ID), nil, nil)
}

type notice struct {
	Instance string `json:"instance"`
	AtMs     int64  `json:"atMs"`
}

type noticesAnswer struct {
	Notices []notice `json:"notices"`
}

// followNotice reports whether the cloud has given notice of this instance, and ends it when that runs out.
func (m *Registrar) followNotice(ctx context.Context) bool {
	var a noticesAnswer
	if err := m.call(ctx, http.MethodGet, "/cloud/notices", nil, &a); err != nil {
		return false
	}
	for _, n := range a.Notices {
		if n.Instance != m.registration.ID {
			continue
		}
		if m.hooks.OnNotice != nil {
			m.hooks.OnNotice()
		}
		if m.hooks.OnReclaim != nil {
			time.AfterFunc(time.Until(time.UnixMilli(n.AtMs)), m.hooks.OnReclaim)
		}
		return true
	}
	return false
}

// call sends one request to the platform and decodes its answer.
func (m *Registrar) call(ctx context.Context, method, path string, body []byte, answer any) error {
	r, err := http.NewRequestWithContext(ctx, method, m.platform+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make the request")
	}
	r.Header.Set("Content-Type", "application/json")
	w, err := m.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "call the platform")
	}
	defer func() { _ = w.Body.Close() }()
	if w.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("platform answered %s to %s %s", w.Status, method, path)
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(w.Body).Decode(answer), "decode the answer")
}
