package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail/group"
)

const (
	defaultSlots                  = 16
	defaultMaxWaiting             = 256
	defaultTokenTime              = 26 * time.Millisecond
	defaultPrefillTokensPerSecond = 4000
	defaultCacheBlocks            = 4096
	defaultLoadLag                = 200 * time.Millisecond
	defaultCacheEventLag          = 300 * time.Millisecond
	maxBodyBytes                  = 4 << 20
	headerRequestID               = "X-Request-Id"
)

// Settings configures the engine; zero values stand for the defaults.
type Settings struct {
	// Model is the model that the engine serves.
	Model string
	// Version is the version of the model.
	Version string
	// Slots is the maximum number of running streams.
	Slots int
	// MaxWaiting is the maximum number of streams that wait for a slot.
	MaxWaiting int
	// TokenTime is the time to generate one token.
	TokenTime time.Duration
	// PrefillTokensPerSecond is the speed at which prompts are computed.
	PrefillTokensPerSecond float64
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// LoadLag is the age of a load report; a negative value means none.
	LoadLag time.Duration
	// CacheEventLag is the delay before cache events are published; a negative value means none.
	CacheEventLag time.Duration
	// CacheGapShare is the share of cache events that are lost.
	CacheGapShare float64
	// ChecksFencing makes the engine refuse orders with an outdated fencing number.
	ChecksFencing bool
	// FetchWeights fetches a version from the weight store; nil loads it without a delay.
	FetchWeights func(ctx context.Context, model, version string) error
	// OnServingChange is called after an order changed the model or the version; it may be nil.
	OnServingChange func(model, version string)
	// Exit ends the process; if it is nil, the engine aborts all its connections instead.
	Exit func()
}

// withDefaults returns the settings with each zero value replaced.
func (s Settings) withDefaults() Settings {
	setDefault(&s.Slots, defaultSlots)
	setDefault(&s.MaxWaiting, defaultMaxWaiting)
	setDefault(&s.TokenTime, defaultTokenTime)
	setDefault(&s.PrefillTokensPerSecond, defaultPrefillTokensPerSecond)
	setDefault(&s.CacheBlocks, defaultCacheBlocks)
	setDefault(&s.LoadLag, defaultLoadLag)
	setDefault(&s.CacheEventLag, defaultCacheEventLag)
	return s
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// Server is the stand-in of a model engine.
type Server struct {
	echo     *echo.Echo
	settings Settings
	group    *group.Group
	batch    *batch
	serving  *serving
}

// New returns the engine as an HTTP handler; Close ends it.
func New(settings Settings) *Server {
	settings = settings.withDefaults()
	s := &Server{
		echo:     echo.New(),
		settings: settings,
		group:    group.New(context.Background()),
		batch:    newBatch(settings),
		serving:  &serving{model: settings.Model, version: settings.Version},
	}
	s.routes()
	s.group.Go(s.batch.run)
	return s
}

// Close stops the engine's goroutines.
func (s *Server) Close() { s.group.Stop() }

// Leave makes the engine refuse new streams.
func (s *Server) Leave() { s.batch.updateControl(func(c *control) { c.leaving = true }) }

// Leaving reports whether the engine refuses new streams.
func (s *Server) Leaving() bool { return s.batch.currentControl().leaving }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	if id := r.Header.Get(headerRequestID); id != "" {
		w.Header().Set(headerRequestID, id)
	}
	s.echo.ServeHTTP(w, r)
}

func (s *Server) routes() {
	g := s.echo.Group("", s.applyFaults)
	g.POST("/v1/stream", s.postStream)
	g.POST("/v1/cancel", s.postCancel)
	g.GET("/load", s.getLoad)
	g.GET("/totals", s.getTotals)
	g.GET("/cacheEvents", s.getCacheEvents)
	g.POST("/orders", s.postOrder)
	g.POST("/kv/export", s.postExport)
	g.POST("/kv/import", s.postImport)
	s.echo.POST("/control", s.postControl)
}

// problem is the body of an error response.
type problem struct {
	Reason string `json:"reason"`
}
