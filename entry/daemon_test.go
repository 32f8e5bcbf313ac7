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

// patience bounds a wait for something that a daemon does in the background.
const patience = 20 * time.Second

// await polls until the condition holds.
func await(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatal("not in time: " + what)
}

// impatient are settings for tests that wait for what a daemon does at intervals.
const impatient = "listInterval = 50ms\nreadWait = 50ms\n[leaving]\nacceptFor = 10ms\n"

// startDaemon runs an entry in the domain until the end of the test.
func startDaemon(t testing.TB, platformURL, domain string, k keyFiles, more string) *entry.Daemon {
	is := is.New(t)
	is.Helper()
	s, faults := settings.Read(fmt.Sprintf("[entry]\nid = %s-1\ndomain = %s\n[platform]\nurl = %s\n%s", domain, domain, platformURL, more))
	is.Equal(len(faults), 0)
	d, err := entry.New(context.Background(), s.WithTLS(k.certificate, k.key, k.authority), io.Discard)
	is.NoErr(err)
	d.Start()
	t.Cleanup(d.Stop)
	return d
}

func TestDaemonsServeWithKeys(t *testing.T) {
	is := is.New(t)
	keys := newKeys(t)
	platformServer := httptest.NewServer(platform.New(platform.Settings{ListLag: -1}))
	t.Cleanup(platformServer.Close)
	engineServer := httptest.NewServer(engine.New(engine.Settings{Model: "tin-writer", Version: "v1", TokenTime: time.Millisecond}))
	t.Cleanup(engineServer.Close)
	c := client.New(platformServer.URL, http.DefaultClient)
	is.NoErr(c.Register(t.Context(), rail.NewInstance("m1", "breno", rail.RoleEngine, engineServer.Listener.Addr().String()).WithServing("tin-writer", "v1")))
	body, err := document.NewPublication(rail.NewDocument("production", 1, nil, nil, nil, source), 0)
	is.NoErr(err)
	_, err = client.NewEnvironmentLog(c, "production").Append(t.Context(), rail.RecordDocument, body)
	is.NoErr(err)

	breno, edolo := startDaemon(t, platformServer.URL, "breno", keys, impatient), startDaemon(t, platformServer.URL, "edolo", keys, impatient)
	operator := &http.Client{Transport: &http.Transport{TLSClientConfig: keys.client(t)}}
	stranger := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{InsecureSkipVerify: true, MinVersion: tls.VersionTLS13}}} //nolint:gosec // A stranger checks nothing.
	for _, d := range []*entry.Daemon{breno, edolo} {
		await(t, "ready", func() bool {
			return status(http.DefaultClient, "http://"+d.Address()+"/healthz") == http.StatusNoContent
		})
		is.Equal(status(operator, "https://"+d.ControlAddress()+"/metrics"), http.StatusOK)
		is.Equal(status(stranger, "https://"+d.ControlAddress()+"/metrics"), 0)
	}
	var text string
	await(t, "an answer", func() bool { text = complete(breno); return strings.Contains(text, `"finish_reason":"stop"`) })
	breno.Leave()
	await(t, "left", func() bool {
		select {
		case <-breno.Done():
			return true
		default:
			return false
		}
	})
	is.Equal(status(http.DefaultClient, "http://"+breno.Address()+"/healthz"), http.StatusServiceUnavailable)
}

// status returns the HTTP status, zero if there is no answer.
func status(c *http.Client, url string) int {
	response, err := c.Get(url)
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
