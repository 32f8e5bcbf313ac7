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

// offer is the hourly price of an instance in one domain and class.
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
	mu              sync.Mutex
	settings        Settings
	list            *instanceList
	idByClientToken map[string]string
	notices         []notice
	startRefusals   int
	lastNumber      int
	account         account
}

func newCloud(settings Settings, l *instanceList) *cloud {
	return &cloud{settings: settings, list: l, idByClientToken: map[string]string{}}
}

func (c *cloud) refuseStarts(starts int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.startRefusals = starts
}

// reclaim gives notice of an instance and terminates it at the given time.
func (c *cloud) reclaim(id string, now, at time.Time) {
	c.mu.Lock()
	c.notices = append(c.notices, notice{Instance: id, AtMs: at.UnixMilli()})
	c.mu.Unlock()
	c.list.markLeaving(id, now)
	time.AfterFunc(at.Sub(now), func() { c.terminate(id) })
}

func (c *cloud) terminate(id string) {
	c.list.terminate(id, time.Now())
	if c.settings.StopInstance != nil {
		c.settings.StopInstance(id)
	}
}

// start allocates one instance for the client token. It returns the id, empty if the start is refused,
// and reports whether the id is new.
func (c *cloud) start(b startBody) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if id, ok := c.idByClientToken[b.ClientToken]; ok {
		return id, false
	}
	if c.startRefusals > 0 {
		c.startRefusals--
		return "", false
	}
	c.lastNumber++
	id := fmt.Sprintf("m%d", c.lastNumber)
	c.idByClientToken[b.ClientToken] = id
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
	id, created := p.cloud.start(b)
	if id == "" {
		return c.JSON(http.StatusConflict, problem{Reason: "start refused"})
	}
	if created && p.cloud.settings.StartInstance != nil {
		p.cloud.settings.StartInstance(rail.NewInstance(rail.InstanceID(id), rail.Domain(b.Domain), rail.RoleEngine, "").
			WithServing(b.Serves, rail.Version(b.Version)).
			WithClass(rail.Class(b.Class)))
	}
	p.faults.loseAnswer()
	return c.JSON(http.StatusOK, startAnswer{ID: id})
}

func (p *Server) deleteStart(c echo.Context) error {
	p.cloud.terminate(c.Param("id"))
	return c.NoContent(http.StatusNoContent)
}
