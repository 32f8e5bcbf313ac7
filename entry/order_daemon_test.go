package entry_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/document"
	"dandelionrail.org/rail/entry"
	client "dandelionrail.org/rail/outside"
	"dandelionrail.org/rail/standin/platform"
	"dandelionrail.org/rail/standin/service"
)

// orderSource adds a team, a route whose service refuses requests, and a route that no instance serves.
const orderSource = documentSource + `[team.office]
tokenHash = 5cc3f82838ba7260203e4590ce03d00e1663d41f6a5167144f5c95d6be2166a0
share = 0.2
priority = 1
[route.paint]
kind = service
serves = paint
idempotent = false
stable = v1
[route.glaze]
kind = service
serves = glaze
idempotent = false
stable = v1
`

// orderCluster is a platform, a service that counts runs, a service that refuses requests, and two entries, over TCP.
type orderCluster struct {
	platform, service, refusing *httptest.Server
	breno, edolo                *entry.Daemon
}

func newOrderCluster(t *testing.T) *orderCluster {
	is := is.New(t)
	cluster := &orderCluster{
		platform: httptest.NewServer(platform.New(platform.Settings{ListLag: -1})),
		service:  httptest.NewServer(service.New(service.Settings{})),
		refusing: httptest.NewServer(service.New(service.Settings{})),
	}
	t.Cleanup(cluster.refusing.Close)
	post(t, cluster.refusing.URL+"/control", "", "", `{"refuse":1000000}`)
	t.Cleanup(cluster.platform.Close)
	t.Cleanup(cluster.service.Close)
	c := client.New(cluster.platform.URL, http.DefaultClient)
	body, err := document.NewPublication(rail.NewDocument("production", 1, nil, nil, nil, orderSource), 0)
	is.NoErr(err)
	_, err = client.NewEnvironmentLog(c, "production").Append(t.Context(), rail.RecordDocument, body)
	is.NoErr(err)
	keys := newKeys(t)
	cluster.breno, cluster.edolo = startDaemon(t, cluster.platform.URL, "breno", keys, shortIntervals), startDaemon(t, cluster.platform.URL, "edolo", keys, shortIntervals)
	upstream := rail.NewInstance("s1", "breno", rail.RoleService, cluster.service.Listener.Addr().String()).WithServing("orders", "v1")
	refusing := rail.NewInstance("s2", "breno", rail.RoleService, cluster.refusing.Listener.Addr().String()).WithServing("paint", "v1")
	for _, d := range []*entry.Daemon{cluster.breno, cluster.edolo} {
		await(t, "an entry that serves orders", func() bool {
			_, _ = c.Register(t.Context(), upstream), c.Register(t.Context(), refusing)
			status, _, _ := cluster.send(t, d, "/warm/"+uuid.NewString(), "Idempotency-Key", newKey())
			return status == http.StatusOK
		})
	}
	// An entry can forward only to entries that its instance list shows.
	await(t, "entries that know each other", func() bool {
		there, _, _ := cluster.send(t, cluster.edolo, "/warm/"+uuid.NewString(), "X-Ticket", cluster.ticket(t, cluster.breno))
		back, _, _ := cluster.send(t, cluster.breno, "/warm/"+uuid.NewString(), "X-Ticket", cluster.ticket(t, cluster.edolo))
		return there == http.StatusOK && back == http.StatusOK
	})
	return cluster
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// send posts one order and returns the status, the X-Run header and the body.
func (c *orderCluster) send(t *testing.T, d *entry.Daemon, path, header, value string) (int, string, string) {
	return post(t, "http://"+d.Address()+"/s/orders"+path, header, value, "brass")
}

func post(t *testing.T, url, header, value, body string) (int, string, string) {
	return postAs(t, "counter", url, header, value, body)
}

func postAs(t *testing.T, team, url, header, value, body string) (int, string, string) {
	is := is.New(t)
	r, err := http.NewRequest(http.MethodPost, url, strings.NewReader(body))
	is.NoErr(err)
	r.Header.Set("Authorization", "Bearer "+team)
	if header != "" {
		r.Header.Set(header, value)
	}
	response, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	is.NoErr(err)
	return response.StatusCode, response.Header.Get("X-Run"), string(text)
}

func (c *orderCluster) ticket(t *testing.T, d *entry.Daemon) string {
	_, _, text := post(t, "http://"+d.Address()+"/v1/tickets", "", "", "")
	var issued struct{ Ticket string }
	is.New(t).NoErr(json.Unmarshal([]byte(text), &issued))
	return issued.Ticket
}

func (c *orderCluster) runs(t *testing.T, path string) int {
	is := is.New(t)
	runs := 0
	for _, s := range []*httptest.Server{c.service, c.refusing} {
		response, err := http.Get(s.URL + "/runs?path=" + path)
		is.NoErr(err)
		var counted struct{ Runs int }
		is.NoErr(json.NewDecoder(response.Body).Decode(&counted))
		_ = response.Body.Close()
		runs += counted.Runs
	}
	return runs
}

// TestOrdersOverTCP sends each order to both entries: without faults, with a lost answer and with the platform unavailable.
func TestOrdersOverTCP(t *testing.T) {
	cluster := newOrderCluster(t)
	inputs := []struct {
		name    string
		control string // of the service
		status  int
		run     string
		runs    int
	}{
		{"answer", `{}`, http.StatusOK, "", 1},
		{"lost answer", `{"dropAnswers":1}`, http.StatusBadGateway, "unknown", 1},
	}
	for _, input := range inputs {
		for _, header := range []string{"X-Ticket", "Idempotency-Key"} {
			t.Run(input.name+" "+header, func(t *testing.T) {
				is := is.New(t)
				value := newKey()
				if header == "X-Ticket" {
					value = cluster.ticket(t, cluster.breno)
				}
				path := "/tins/" + uuid.NewString()
				post(t, cluster.service.URL+"/control", "", "", input.control)
				for _, d := range []*entry.Daemon{cluster.edolo, cluster.breno, cluster.edolo} {
					status, run, _ := cluster.send(t, d, path, header, value)
					is.Equal(status, input.status)
					is.Equal(run, input.run)
				}
				is.Equal(cluster.runs(t, path), input.runs)
			})
		}
	}
	t.Run("platform unavailable", func(t *testing.T) {
		is := is.New(t)
		ticket := cluster.ticket(t, cluster.breno)
		post(t, cluster.platform.URL+"/control", "", "", `{"outageMs":600000}`)
		byKey, byTicket := "/tins/"+uuid.NewString(), "/tins/"+uuid.NewString()
		status, run, text := cluster.send(t, cluster.edolo, byKey, "Idempotency-Key", newKey())
		is.Equal(fmt.Sprint(status, run), "503notRun")
		is.Equal(refusalKind(text), rail.KindPlatformUnavailable)
		is.Equal(cluster.runs(t, byKey), 0)
		status, _, _ = cluster.send(t, cluster.edolo, byTicket, "X-Ticket", ticket)
		is.Equal(status, http.StatusOK)
		is.Equal(cluster.runs(t, byTicket), 1)
	})
}

// refusalKind returns the error kind in the body of a refusal.
func refusalKind(text string) rail.Kind {
	var refusal struct{ Error struct{ Kind rail.Kind } }
	_ = json.Unmarshal([]byte(text), &refusal)
	return refusal.Error.Kind
}

// TestRefusedAsNotRunWasNotRun causes each refusal and checks the service's own count of runs.
func TestRefusedAsNotRunWasNotRun(t *testing.T) {
	cluster := newOrderCluster(t)
	const keyHeader, ticketHeader = "Idempotency-Key", "X-Ticket"
	reused := newKey()
	cluster.send(t, cluster.breno, "/first", keyHeader, reused)
	issued := cluster.ticket(t, cluster.breno)
	prefix := issued[:strings.LastIndex(issued, "-")]
	tests := []struct {
		kind                             rail.Kind
		team, route, header, value, body string
	}{
		{rail.KindUnknownTeam, "nobody", "orders", keyHeader, newKey(), "brass"},
		{rail.KindUnknownRoute, "counter", "tins", keyHeader, newKey(), "brass"},
		{rail.KindTooLarge, "counter", "orders", keyHeader, newKey(), strings.Repeat("brass", 1<<20)},
		{rail.KindTicketRequired, "counter", "orders", "", "", "brass"},
		{rail.KindBadRequest, "counter", "orders", keyHeader, uuid.NewString(), "brass"},
		{rail.KindKeyReused, "counter", "orders", keyHeader, reused, "other brass"},
		{rail.KindForeignTicket, "office", "orders", ticketHeader, issued, "brass"},
		{rail.KindUnknownTicket, "counter", "orders", ticketHeader, prefix + "-999", "brass"},
		{rail.KindUnknownTicket, "counter", "orders", ticketHeader, "brass", "brass"},
		{rail.KindNoUpstream, "counter", "glaze", keyHeader, newKey(), "brass"},
		{rail.KindUpstreamRefused, "counter", "paint", keyHeader, newKey(), "brass"},
		{rail.KindUpstreamRefused, "counter", "paint", ticketHeader, cluster.ticket(t, cluster.breno), "brass"},
	}
	for _, test := range tests {
		t.Run(string(test.kind), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			path := "/tins/" + uuid.NewString()
			_, run, text := postAs(t, test.team, "http://"+cluster.breno.Address()+"/s/"+test.route+path, test.header, test.value, test.body)
			if kind := refusalKind(text); kind != test.kind && (test.kind != rail.KindUpstreamRefused || kind != rail.KindNoUpstream) {
				t.Fatal(text) // noUpstream may replace upstreamRefused: the last attempt may find only an upstream that has just refused.
			}
			is.Equal(run, string(rail.NotRun))
			is.Equal(cluster.runs(t, path), 0)
		})
	}
}
