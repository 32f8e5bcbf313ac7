package platform

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail"
)

const (
	defaultAppendsPerSecond  = 400
	defaultRetention         = 10 * time.Minute
	defaultListLag           = time.Second
	defaultWeightsPerSecond  = 2
	defaultMaxWeightsWaiting = 8
	maxBodyBytes             = 4 << 20
	headerRequestID          = "X-Request-Id"
)

// Settings configures the platform; zero values stand for the defaults.
type Settings struct {
	// AppendsPerSecond limits the appends of all callers combined.
	AppendsPerSecond float64
	// Retention is how long the log keeps records.
	Retention time.Duration
	// ListLag is the age of the instance list that readers see; a negative value means none.
	ListLag time.Duration
	// WeightsPerSecond limits the downloads from the weight store.
	WeightsPerSecond float64
	// MaxWeightsWaiting is the maximum number of callers that wait for the weight store.
	MaxWeightsWaiting int
	// Offers are the hourly prices by domain and class.
	Offers []rail.Offer
	// StartInstance runs a bought instance, which has no address yet; it may be nil.
	StartInstance func(rail.Instance)
	// StopInstance stops an instance that was released or reclaimed; it may be nil.
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
		s.MaxWeightsWaiting = defaultMaxWeightsWaiting
	}
	return s
}

// Server is the stand-in of the platform.
type Server struct {
	echo    *echo.Echo
	faults  *faults
	log     *recordLog
	list    *instanceList
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
		list:    newInstanceList(max(settings.ListLag, 0)),
		weights: newWeights(settings.WeightsPerSecond, settings.MaxWeightsWaiting),
	}
	p.cloud = newCloud(settings, p.list)
	p.routes()
	return p
}

// ServeHTTP implements http.Handler.
func (p *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if id := r.Header.Get(headerRequestID); id != "" {
		w.Header().Set(headerRequestID, id)
	}
	p.echo.ServeHTTP(w, r)
}

func (p *Server) routes() {
	api := p.echo.Group("", p.faults.middleware)
	api.POST("/log/records", p.postRecord)
	api.GET("/log/records", p.getRecords)
	api.GET("/instances", p.getInstances)
	api.PUT("/instances/:id", p.putInstance)
	api.DELETE("/instances/:id", p.deleteInstance)
	api.GET("/cloud/notices", p.getNotices)
	api.GET("/cloud/offers", p.getOffers)
	api.GET("/cloud/account", p.getAccount)
	api.POST("/cloud/instances", p.postStart)
	api.DELETE("/cloud/instances/:id", p.deleteStart)
	api.GET("/weights/:model/:version", p.getWeights)
	p.echo.POST("/control", p.postControl)
}
