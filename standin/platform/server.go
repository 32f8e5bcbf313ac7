package platform

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail"
)

const (
	defaultAppendsPerSecond = 400
	defaultRetention        = 10 * time.Minute
	defaultListLag          = time.Second
	defaultWeightsPerSecond = 2
	defaultWeightsWaiting   = 8
	maxBodyBytes            = 4 << 20
)

// Settings says how the platform behaves; zero values stand for the defaults.
type Settings struct {
	// AppendsPerSecond limits the appends of all callers together.
	AppendsPerSecond float64
	// Retention is how long the log keeps a record.
	Retention time.Duration
	// ListLag is how far the instance list is behind; negative for not at all.
	ListLag time.Duration
	// WeightsPerSecond limits the answers of the weight store.
	WeightsPerSecond float64
	// MaxWeightsWaiting is how many callers may wait at the weight store.
	MaxWeightsWaiting int
	// Offers are the prices by domain and class.
	Offers []rail.Offer
	// StartInstance runs a bought instance, which has no address yet; nil for none.
	StartInstance func(rail.Instance)
	// StopInstance ends an instance that was released or reclaimed, nil for none.
	StopInstance func(id string)
}

// withDefaults returns the settings with each zero value replaced.
func (s Settings) withDefaults() Settings {
	if s.AppendsPerSecond == 0 {
		s.AppendsPerSecond = defaultAppendsPerSecond
	}
	if s.Retention == 0 {
		s.Retention = defaultRetention
	}
	if s.ListLag == 0 {
		s.ListLag = defaultListLag
	}
	if s.WeightsPerSecond == 0 {
		s.WeightsPerSecond = defaultWeightsPerSecond
	}
	if s.MaxWeightsWaiting == 0 {
		s.MaxWeightsWaiting = defaultWeightsWaiting
	}
	return s
}

// Server is the stand-in of the platform.
type Server struct {
	echo    *echo.Echo
	faults  *faults
	log     *recordLog
	list    *list
	cloud   *cloud
	weights *weights
}

// New returns the platform as an HTTP handler.
func New(settings Settings) *Server {
	settings = settings.withDefaults()
	p := &Server{
		echo:    echo.New(),
		faults:  &faults{},
		log:     newRecordLog(settings.AppendsPerSecond, settings.Retention),
		list:    newList(max(settings.ListLag, 0)),
		weights: newWeights(settings.WeightsPerSecond, settings.MaxWeightsWaiting),
	}
	p.cloud = newCloud(settings, p.list)
	p.routes()
	return p
}

// ServeHTTP implements http.Handler.
func (p *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	p.echo.ServeHTTP(w, r)
}

func (p *Server) routes() {
	store := p.echo.Group("", p.faults.middleware)
	store.POST("/log/records", p.postRecord)
	store.GET("/log/records", p.getRecords)
	store.GET("/instances", p.getInstances)
	store.PUT("/instances/:id", p.putInstance)
	store.DELETE("/instances/:id", p.deleteInstance)
	store.GET("/cloud/notices", p.getNotices)
	store.GET("/cloud/offers", p.getOffers)
	store.GET("/cloud/account", p.getAccount)
	store.POST("/cloud/instances", p.postStart)
	store.DELETE("/cloud/instances/:id", p.deleteStart)
	store.GET("/weights/:model/:version", p.getWeights)
	p.echo.POST("/control", p.postControl)
}
