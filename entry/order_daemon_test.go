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

// orderSource adds a team, a route whose service refuses, and one that no instance serves.
const orderSource = source + `[team.office]
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

// orderWorld is a platform, a service that counts, and two entries, over TCP.
type orderWorld struct {
	platform, service, refusing *httptest.Server
	breno, edolo                *entry.Daemon
}

func newOrderWorld(t *testing.T) *orderWorld {
	is := is.New(t)
	w := &orderWorld{
		platform: httptest.NewServer(platform.New(platform.Settings{ListLag: -1})),
		service:  httptest.NewServer(service.New(service.Settings{})),
		refusing: httptest.NewServer(service.New(service.Settings{})),
	}
	t.Cleanup(w.refusing.Close)
	post(t, w.refusing.URL+"/control", "", "", `{"refuse":1000000}`)
	t.Cleanup(w.platform.Close)
	t.Cleanup(w.service.Close)
	c := client.New(w.platform.URL, http.DefaultClient)
	body, err := document.NewPublication(rail.NewDocument("production", 1, nil, nil, nil, orderSource), 0)
	is.NoErr(err)
	_, err = client.NewEnvironmentLog(c, "production").Append(t.Context(), rail.RecordDocument, body)
	is.NoErr(err)
	keys := newKeys(t)
	w.breno, w.edolo = startDaemon(t, w.platform.URL, "breno", keys, impatient), startDaemon(t, w.platform.URL, "edolo", keys, impatient)
	upstream := rail.NewInstance("s1", "breno", rail.RoleService, w.service.Listener.Addr().String()).WithServing("orders", "v1")
	refusing := rail.NewInstance("s2", "breno", rail.RoleService, w.refusing.Listener.Addr().String()).WithServing("paint", "v1")
	for _, d := range []*entry.Daemon{w.breno, w.edolo} {
		await(t, "an entry that serves", func() bool {
			_, _ = c.Register(t.Context(), upstream), c.Register(t.Context(), refusing)
			status, _, _ := w.send(t, d, "/warm/"+uuid.NewString(), "Idempotency-Key", newKey())
			return status == http.StatusOK
		})
	}
	// An entry that has not read of another one yet cannot forward to it.
	await(t, "entries that know each other", func() bool {
		there, _, _ := w.send(t, w.edolo, "/warm/"+uuid.NewString(), "X-Ticket", w.ticket(t, w.breno))
		back, _, _ := w.send(t, w.breno, "/warm/"+uuid.NewString(), "X-Ticket", w.ticket(t, w.edolo))
		return there == http.StatusOK && back == http.StatusOK
	})
	return w
}

func newKey() string { return uuid.Must(uuid.NewV7()).String() }

// send posts one order and returns status, what is said of its run, and body.
func (w *orderWorld) send(t *testing.T, d *entry.Daemon, path, header, value string) (int, string, string) {
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

func (w *orderWorld) ticket(t *testing.T, d *entry.Daemon) string {
	_, _, text := post(t, "http://"+d.Address()+"/v1/tickets", "", "", "")
	var issued struct{ Ticket string }
	is.New(t).NoErr(json.Unmarshal([]byte(text), &issued))
	return issued.Ticket
}

func (w *orderWorld) runs(t *testing.T, path string) int {
	is := is.New(t)
	runs := 0
	for _, s := range []*httptest.Server{w.service, w.refusing} {
		response, err := http.Get(s.URL + "/runs?path=" + path)
		is.NoErr(err)
		var counted struct{ Runs int }
		is.NoErr(json.NewDecoder(response.Body).Decode(&counted))
		_ = response.Body.Close()
		runs += counted.Runs
	}
	return runs
}

// TestOrdersOverTCP sends each order to both entries, in good times, with a lost answer and with the platform away.
func TestOrdersOverTCP(t *testing.T) {
	w := newOrderWorld(t)
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
					value = w.ticket(t, w.breno)
				}
				path := "/tins/" + uuid.NewString()
				post(t, w.service.URL+"/control", "", "", input.control)
				for _, d := range []*entry.Daemon{w.edolo, w.breno, w.edolo} {
					status, run, _ := w.send(t, d, path, header, value)
					is.Equal(status, input.status)
					is.Equal(run, input.run)
				}
				is.Equal(w.runs(t, path), input.runs)
			})
		}
	}
	t.Run("platform away", func(t *testing.T) {
		is := is.New(t)
		ticket := w.ticket(t, w.breno)
		post(t, w.platform.URL+"/control", "", "", `{"outageMs":600000}`)
		byKey, byTicket := "/tins/"+uuid.NewString(), "/tins/"+uuid.NewString()
		status, run, text := w.send(t, w.edolo, byKey, "Idempotency-Key", newKey())
		is.Equal(fmt.Sprint(status, run), "503notRun")
		is.Equal(kindIn(text), rail.KindPlatformUnavailable)
		is.Equal(w.runs(t, byKey), 0)
		status, _, _ = w.send(t, w.edolo, byTicket, "X-Ticket", ticket)
		is.Equal(status, http.StatusOK)
		is.Equal(w.runs(t, byTicket), 1)
	})
}

// kindIn returns the error kind in the body of a refusal.
func kindIn(text string) rail.Kind {
	var refusal struct{ Error struct{ Kind rail.Kind } }
	_ = json.Unmarshal([]byte(text), &refusal)
	return refusal.Error.Kind
}

// TestRefusedAsNotRunWasNotRun brings each refusal about and asks the service for its own count.
func TestRefusedAsNotRunWasNotRun(t *testing.T) {
	w := newOrderWorld(t)
	const keyHeader, ticketHeader = "Idempotency-Key", "X-Ticket"
	reused := newKey()
	w.send(t, w.breno, "/first", keyHeader, reused)
	issued := w.ticket(t, w.breno)
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
		{rail.KindUpstreamRefused, "counter", "paint", ticketHeader, w.ticket(t, w.breno), "brass"},
	}
	for _, test := range tests {
		t.Run(string(test.kind), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			path := "/tins/" + uuid.NewString()
			_, run, text := postAs(t, test.team, "http://"+w.breno.Address()+"/s/"+test.route+path, test.header, test.value, test.body)
			if kind := kindIn(text); kind != test.kind && (test.kind != rail.KindUpstreamRefused || kind != rail.KindNoUpstream) {
				t.Fatal(text) // The last of many tries may have found no upstream that had not just refused.
			}
			is.Equal(run, string(rail.NotRun))
			is.Equal(w.runs(t, path), 0)
		})
	}
}
