package platform

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/standin"
)

// offer is the price of an instance and hour in one domain and class.
type offer struct {
	Domain string  `json:"domain"`
	Class  string  `json:"class"`
	Price  float64 `json:"price"`
}

type notice struct {
	Instance string `json:"instance"`
	AtMs     int64  `json:"atMs"`
}

// cloud sells instances and reclaims them.
type cloud struct {
	mu       sync.Mutex
	settings Settings
	list     *list
	tokens   map[string]string
	notices  []notice
	refusals int
	number   int
	account  account
}

func newCloud(settings Settings, l *list) *cloud {
	return &cloud{settings: settings, list: l, tokens: map[string]string{}}
}

func (d *cloud) refuse(starts int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refusals = starts
}

// reclaim gives notice of an instance; it is taken at the time.
func (d *cloud) reclaim(id string, now, at time.Time) {
	d.mu.Lock()
	d.notices = append(d.notices, notice{Instance: id, AtMs: at.UnixMilli()})
	d.mu.Unlock()
	d.list.mark(id, now)
	time.AfterFunc(at.Sub(now), func() { d.take(id) })
}

func (d *cloud) take(id string) {
	d.list.take(id, time.Now())
	if d.settings.StopInstance != nil {
		d.settings.StopInstance(id)
	}
}

// start starts one instance for the client token and returns its id, empty if refused.
func (d *cloud) start(b startBody) (string, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if id, ok := d.tokens[b.ClientToken]; ok {
		return id, false
	}
	if d.refusals > 0 {
		d.refusals--
		return "", false
	}
	d.number++
	id := fmt.Sprintf("m%d", d.number)
	d.tokens[b.ClientToken] = id
	return id, true
}

type noticesAnswer struct {
	Notices []notice `json:"notices"`
}

func (p *Server) getNotices(c echo.Context) error {
	p.cloud.mu.Lock()
	ns := slices.Clone(p.cloud.notices)
	p.cloud.mu.Unlock()
	if ns == nil {
		ns = []notice{}
	}
	return c.JSON(http.StatusOK, noticesAnswer{Notices: ns})
}

type offersAnswer struct {
	Offers []offer `json:"offers"`
}

func (p *Server) getOffers(c echo.Context) error {
	a := offersAnswer{Offers: []offer{}}
	for _, o := range p.cloud.settings.Offers {
		a.Offers = append(a.Offers, offer{Domain: string(o.Domain()), Class: string(o.Class()), Price: o.Price()})
	}
	return c.JSON(http.StatusOK, a)
}

type startBody struct {
	ClientToken string `json:"clientToken"`
	Domain      string `json:"domain"`
	Class       string `json:"class"`
	Serves      string `json:"serves"`
	Version     string `json:"version"`
}

type startAnswer struct {
	ID string `json:"id"`
}

func (p *Server) postStart(c echo.Context) error {
	var b startBody
	if err := standin.Decode(c, &b); err != nil {
		return err
	}
	if b.ClientToken == "" || b.Domain == "" {
		return c.JSON(http.StatusBadRequest, problem{Reason: "clientToken and domain are required"})
	}
	id, fresh := p.cloud.start(b)
	if id == "" {
		return c.JSON(http.StatusConflict, problem{Reason: "start refused"})
	}
	if fresh && p.cloud.settings.StartInstance != nil {
		p.cloud.settings.StartInstance(rail.NewInstance(rail.InstanceID(id), rail.Domain(b.Domain), rail.RoleEngine, "").
			WithServing(b.Serves, rail.Version(b.Version)).
			WithClass(rail.Class(b.Class)))
	}
	p.faults.loseAnswer()
	return c.JSON(http.StatusOK, startAnswer{ID: id})
}

func (p *Server) deleteStart(c echo.Context) error {
	p.cloud.take(c.Param("id"))
	return c.NoContent(http.StatusNoContent)
}
