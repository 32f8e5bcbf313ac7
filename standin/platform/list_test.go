package platform_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/standin/platform"
)

// register registers an engine in breno and returns the status.
func register(p *platform.Server, id string) int {
	body := fmt.Sprintf(`{"id":%q,"domain":"breno","role":"engine","class":"reclaimable","address":"127.0.0.1:1"}`, id)
	return call(p, http.MethodPut, "/instances/"+id, body).status
}

// listed returns the id and state of each instance in the list.
func listed(is *is.I, p *platform.Server) string {
	is.Helper()
	var a struct {
		Instances []struct{ ID, State string } `json:"instances"`
	}
	is.NoErr(json.Unmarshal([]byte(call(p, http.MethodGet, "/instances", "").body), &a))
	var parts []string
	for _, i := range a.Instances {
		parts = append(parts, i.ID+" "+i.State)
	}
	return strings.Join(parts, ", ")
}

func TestListLagAndExpiry(t *testing.T) {
	run(t, platform.Settings{ListLag: 2 * time.Second}, func(is *is.I, p *platform.Server) {
		is.Equal(register(p, "b"), http.StatusNoContent)
		is.Equal(register(p, "a"), http.StatusNoContent)
		is.Equal(listed(is, p), "")
		time.Sleep(2 * time.Second)
		is.Equal(listed(is, p), "a live, b live")
		is.Equal(register(p, "a"), http.StatusNoContent)
		time.Sleep(3*time.Second + time.Millisecond)
		is.Equal(listed(is, p), "a live, b live")
		time.Sleep(2 * time.Second)
		is.Equal(listed(is, p), "a live")
		is.Equal(call(p, http.MethodDelete, "/instances/a", "").status, http.StatusNoContent)
		is.Equal(listed(is, p), "a live")
		time.Sleep(2 * time.Second)
		is.Equal(listed(is, p), "")
		control(is, p, `{"listLagMs":0}`)
		is.Equal(register(p, "c"), http.StatusNoContent)
		is.Equal(listed(is, p), "c live")
	})
}

func TestOutageKeepsRegistrations(t *testing.T) {
	run(t, platform.Settings{ListLag: -1}, func(is *is.I, p *platform.Server) {
		register(p, "a")
		control(is, p, `{"outageMs":60000}`)
		time.Sleep(61 * time.Second)
		is.Equal(listed(is, p), "a live")
		time.Sleep(5 * time.Second)
		is.Equal(listed(is, p), "")
	})
}

func TestReclaim(t *testing.T) {
	run(t, platform.Settings{ListLag: -1}, func(is *is.I, p *platform.Server) {
		register(p, "a")
		register(p, "b")
		control(is, p, `{"reclaim":[{"instance":"a","noticeMs":4000}]}`)
		is.Equal(listed(is, p), "a leaving, b live")
		notices := call(p, http.MethodGet, "/cloud/notices", "").body
		is.True(strings.Contains(notices, fmt.Sprintf(`{"instance":"a","atMs":%d}`, time.Now().Add(4*time.Second).UnixMilli())))
		time.Sleep(3 * time.Second)
		is.Equal(register(p, "a"), http.StatusNoContent)
		is.Equal(register(p, "b"), http.StatusNoContent)
		is.Equal(listed(is, p), "a leaving, b live")
		time.Sleep(time.Second + time.Millisecond)
		is.Equal(listed(is, p), "b live")
		is.Equal(register(p, "a"), http.StatusGone)
	})
}

func TestStartsAreIdempotentByClientToken(t *testing.T) {
	var started []rail.Instance
	s := platform.Settings{StartInstance: func(i rail.Instance) { started = append(started, i) }}
	run(t, s, func(is *is.I, p *platform.Server) {
		body := `{"clientToken":"t1","domain":"breno","class":"reclaimable","serves":"m","version":"v1"}`
		control(is, p, `{"refuseStarts":1,"loseAnswers":1}`)
		is.Equal(call(p, http.MethodPost, "/cloud/instances", body).status, http.StatusConflict)
		is.True(call(p, http.MethodPost, "/cloud/instances", body).aborted)
		first := call(p, http.MethodPost, "/cloud/instances", body)
		second := call(p, http.MethodPost, "/cloud/instances", strings.Replace(body, "t1", "t2", 1))
		is.Equal(first.status, http.StatusOK)
		is.True(first.body != second.body)
		is.Equal(len(started), 2)
		is.Equal(started[0], rail.NewInstance("m1", "breno", rail.RoleEngine, "").WithServing("m", "v1").WithClass(rail.ClassReclaimable))
	})
}

func TestAccountChargesListedInstances(t *testing.T) {
	s := platform.Settings{ListLag: -1, Offers: []rail.Offer{rail.NewOffer("breno", rail.ClassReclaimable, 3600)}}
	run(t, s, func(is *is.I, p *platform.Server) {
		register(p, "a")
		register(p, "b")
		is.Equal(call(p, http.MethodGet, "/cloud/account", "").body, "{\"cost\":0}\n")
		time.Sleep(2 * time.Second)
		is.Equal(call(p, http.MethodGet, "/cloud/account", "").body, "{\"cost\":4}\n")
		call(p, http.MethodDelete, "/instances/a", "")
		time.Sleep(time.Second)
		is.Equal(call(p, http.MethodGet, "/cloud/account", "").body, "{\"cost\":5}\n")
		is.True(strings.Contains(call(p, http.MethodGet, "/cloud/offers", "").body, `"price":3600`))
	})
}
