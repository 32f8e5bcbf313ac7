package entry_test

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/entry"
	client "dandelionrail.org/rail/outside"
	"dandelionrail.org/rail/settings"
	"dandelionrail.org/rail/standin/engine"
	"dandelionrail.org/rail/standin/platform"
)

// awaitTimeout bounds a wait for a daemon's background work.
const awaitTimeout = 20 * time.Second

// await polls until the condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(awaitTimeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("timed out waiting for: " + what)
}

// shortIntervals are settings for tests that wait for a daemon's periodic work.
const shortIntervals = "listInterval = 50ms\nreadWait = 50ms\n[leaving]\nacceptFor = 10ms\n"

// startDaemon runs an entry in the domain until the end of the test.
func startDaemon(t testing.TB, platformURL, domain string, keys keyFiles, extraSettings string) *entry.Daemon {
	is := is.New(t)
	is.Helper()
	s, faults := settings.Read(fmt.Sprintf("[entry]\nid = %s-1\ndomain = %s\n[platform]\nurl = %s\n%s", domain, domain, platformURL, extraSettings))
	is.Equal(len(faults), 0)
	d, err := entry.New(context.Background(), s.WithTLS(keys.certificate, keys.key, keys.authority), io.Discard)
	is.NoErr(err)
	d.Start()
	t.Cleanup(d.Stop)
	return d
}

func TestDaemonsServeWithMutualTLS(t *testing.T) {
	is := is.New(t)
	keys := newKeys(t)
	platformServer := httptest.NewServer(platform.New(platform.Settings{ListLag: -1}))
	t.Cleanup(platformServer.Close)
	engineServer := httptest.NewServer(engine.New(engine.Settings{Model: "tin-writer", Version: "v1", TokenTime: time.Millisecond}))
	t.Cleanup(engineServer.Close)
	c := client.New(platformServer.URL, http.DefaultClient)
	is.NoErr(c.Register(t.Context(), rail.NewInstance("m1", "breno", rail.RoleEngine, engineServer.Listener.Addr().String()).WithServing("tin-writer", "v1")))
	body, err := document.NewPublication(rail.NewDocument("production", 1, nil, nil, nil, documentSource), 0)
	is.NoErr(err)
	_, err = client.NewEnvironmentLog(c, "production").Append(t.Context(), rail.RecordDocument, body)
	is.NoErr(err)

	breno, edolo := startDaemon(t, platformServer.URL, "breno", keys, shortIntervals), startDaemon(t, platformServer.URL, "edolo", keys, shortIntervals)
	operator := &http.Client{Transport: &http.Transport{TLSClientConfig: keys.client(t)}}
	unauthenticated := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}}} //nolint:gosec // A client without keys cannot verify the server.
	for _, d := range []*entry.Daemon{breno, edolo} {
		await(t, "readiness", func() bool {
			return status(http.DefaultClient, "http://"+d.Address()+"/healthz") == http.StatusNoContent
		})
		is.Equal(status(operator, "https://"+d.ControlAddress()+"/metrics"), http.StatusOK)
		is.Equal(status(unauthenticated, "https://"+d.ControlAddress()+"/metrics"), 0)
	}
	var text string
	await(t, "an answer", func() bool { text = complete(breno); return strings.Contains(text, `"finish_reason":"stop"`) })
	breno.Leave()
	await(t, "the end of the shutdown", func() bool {
		select {
		case <-breno.Done():
			return true
		default:
			return false
		}
	})
	is.Equal(status(http.DefaultClient, "http://"+breno.Address()+"/healthz"), http.StatusServiceUnavailable)
}

// status returns the HTTP status, zero if the request fails.
func status(client *http.Client, url string) int {
	response, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode
}

func complete(d *entry.Daemon) string {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.Address()+"/v1/completions",
		strings.NewReader(`{"model":"tin-writer","prompt":"a brief about tins","max_tokens":8}`))
	if err != nil {
		return ""
	}
	r.Header.Set("Authorization", "Bearer counter")
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return ""
	}
	return string(body)
}
