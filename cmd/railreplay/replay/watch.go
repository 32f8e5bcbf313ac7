package replay

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"sync"
	"time"

	"github.com/pkg/errors"
)

const (
	pollInterval = 500 * time.Millisecond
	pollTimeout  = 3 * time.Second
)

// instance is an upstream in the platform's list.
type instance struct {
	ID          string `json:"id"`
	Incarnation string `json:"incarnation"`
	Role        string `json:"role"`
	Address     string `json:"address"`
}

type listResponse struct {
	Instances []instance `json:"instances"`
}

// totals are the counters of an engine since its start.
type totals struct {
	Streams          int `json:"streams"`
	PromptTokens     int `json:"promptTokens"`
	RecomputedTokens int `json:"recomputedTokens"`
	GeneratedTokens  int `json:"generatedTokens"`
}

type accountResponse struct {
	Cost float64 `json:"cost"`
}

type runsResponse struct {
	Runs int `json:"runs"`
}

// watcher polls the platform and the upstreams, so that the counters of a reclaimed upstream are not lost.
type watcher struct {
	platform  string
	client    *http.Client
	mu        sync.Mutex
	instances map[string]instance
	totals    map[string]totals
	cost      float64
}

func newWatcher(platform string) *watcher {
	return &watcher{
		platform:  platform,
		client:    &http.Client{Timeout: pollTimeout},
		instances: map[string]instance{},
		totals:    map[string]totals{},
	}
}

// run polls at each interval until the context ends.
func (w *watcher) run(ctx context.Context) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.poll(ctx)
		}
	}
}

// poll updates the list, the cost and the counters; those of an unreachable upstream keep their last values.
func (w *watcher) poll(ctx context.Context) {
	var list listResponse
	if w.get(ctx, w.platform+"/instances", &list) == nil {
		w.addInstances(list.Instances)
	}
	var account accountResponse
	if w.get(ctx, w.platform+"/cloud/account", &account) == nil {
		w.mu.Lock()
		w.cost = account.Cost
		w.mu.Unlock()
	}
	for _, i := range list.Instances {
		if i.Role != "engine" {
			continue
		}
		var t totals
		if w.get(ctx, "http://"+i.Address+"/totals", &t) == nil {
			w.mu.Lock()
			w.totals[i.Incarnation] = t
			w.mu.Unlock()
		}
	}
}

func (w *watcher) addInstances(list []instance) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range list {
		w.instances[i.Incarnation] = i
	}
}

// address returns the URL of an upstream.
func (w *watcher) address(id string) (string, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, i := range w.instances {
		if i.ID == id {
			return "http://" + i.Address, true
		}
	}
	return "", false
}

// serviceURLs returns the URLs of all services that were listed at any time.
func (w *watcher) serviceURLs() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var urls []string
	for _, i := range w.instances {
		if i.Role == "service" {
			urls = append(urls, "http://"+i.Address)
		}
	}
	return urls
}

// countRuns returns how often the order with the path ran on all services, and false if one of them could not be asked.
func (w *watcher) countRuns(ctx context.Context, path string) (int, bool) {
	sum, all := 0, true
	for _, s := range w.serviceURLs() {
		var a runsResponse
		if w.get(ctx, s+"/runs?path="+url.QueryEscape(path), &a) != nil {
			all = false
			continue
		}
		sum += a.Runs
	}
	return sum, all
}

// sumTotals returns the sum of the counters of all engines, and the cost.
func (w *watcher) sumTotals() (totals, float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var s totals
	for _, t := range w.totals {
		s.Streams += t.Streams
		s.PromptTokens += t.PromptTokens
		s.RecomputedTokens += t.RecomputedTokens
		s.GeneratedTokens += t.GeneratedTokens
	}
	return s, w.cost
}

func (w *watcher) get(ctx context.Context, address string, response any) error {
	return w.call(ctx, http.MethodGet, address, nil, response)
}

func (w *watcher) post(ctx context.Context, address string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Wrap(err, "encode")
	}
	return w.call(ctx, http.MethodPost, address, data, nil)
}

// call sends one request to a stand-in and decodes its response.
func (w *watcher) call(ctx context.Context, method, address string, body []byte, response any) error {
	r, err := http.NewRequestWithContext(ctx, method, address, bytes.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "make the request")
	}
	r.Header.Set("Content-Type", "application/json")
	a, err := w.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "call the stand-in")
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode >= http.StatusMultipleChoices {
		return errors.Errorf("%s %s was answered %s", method, address, a.Status)
	}
	if response == nil {
		return nil
	}
	return errors.Wrap(json.NewDecoder(a.Body).Decode(response), "decode the answer")
}
