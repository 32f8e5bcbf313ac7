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
	registrationInterval = time.Second
	callTimeout          = 2 * time.Second
)

// registration is the body with which an instance registers.
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

// Hooks are the callbacks of a Registrar to its process; each may be nil.
type Hooks struct {
	// Leaving reports whether the process has begun to leave.
	Leaving func() bool
	// OnNotice is called once, when the cloud gives notice that it will reclaim the instance.
	OnNotice func()
	// OnReclaim is called at the time that the notice gave; it ends the process, as the cloud would.
	OnReclaim func()
}

// Registrar keeps one instance registered.
type Registrar struct {
	platform     string
	client       *http.Client
	hooks        Hooks
	mu           sync.Mutex
	registration registration
}

// New returns a Registrar for the instance at the platform's URL; the caller must start Run.
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

// SetServing changes the model or service and the version that the instance registers.
func (r *Registrar) SetServing(serves, version string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.registration.Serves, r.registration.Version = serves, version
}

// Run renews the registration until the context ends, then removes it.
func (r *Registrar) Run(ctx context.Context) {
	t := time.NewTicker(registrationInterval)
	defer t.Stop()
	noticed := false
	for {
		// The platform may be unreachable for a time: the next tick tries again.
		_ = r.register(ctx)
		if !noticed {
			noticed = r.handleNotice(ctx)
		}
		select {
		case <-ctx.Done():
			r.remove(context.WithoutCancel(ctx))
			return
		case <-t.C:
		}
	}
}

func (r *Registrar) register(ctx context.Context) error {
	r.mu.Lock()
	reg := r.registration
	r.mu.Unlock()
	reg.State = "live"
	if r.hooks.Leaving != nil && r.hooks.Leaving() {
		reg.State = "leaving"
	}
	body, err := json.Marshal(reg)
	if err != nil {
		return errors.Wrap(err, "encode the registration")
	}
	return r.call(ctx, http.MethodPut, "/instances/"+url.PathEscape(reg.ID), body, nil)
}

func (r *Registrar) remove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_ = r.call(ctx, http.MethodDelete, "/instances/"+url.PathEscape(r.registration.ID), nil, nil)
}

type notice struct {
	Instance string `json:"instance"`
	AtMs     int64  `json:"atMs"`
}

type noticesAnswer struct {
	Notices []notice `json:"notices"`
}

// handleNotice reports whether the cloud has given notice for this instance, and schedules OnReclaim if it has.
func (r *Registrar) handleNotice(ctx context.Context) bool {
	var a noticesAnswer
	if err := r.call(ctx, http.MethodGet, "/cloud/notices", nil, &a); err != nil {
		return false
	}
	for _, n := range a.Notices {
		if n.Instance != r.registration.ID {
			continue
		}
		if r.hooks.OnNotice != nil {
			r.hooks.OnNotice()
		}
		if r.hooks.OnReclaim != nil {
			time.AfterFunc(time.Until(time.UnixMilli(n.AtMs)), r.hooks.OnReclaim)
		}
		return true
	}
	return false
}

// call sends one request to the platform and decodes its response.
func (r *Registrar) call(ctx context.Context, method, path string, body []byte, answer any) error {
	req, err := http.NewRequestWithContext(ctx, method, r.platform+path, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make the request")
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := r.client.Do(req)
	if err != nil {
		return errors.Wrap(err, "call the platform")
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("platform answered %s to %s %s", resp.Status, method, path)
	}
	if answer == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(resp.Body).Decode(answer), "decode the answer")
}
