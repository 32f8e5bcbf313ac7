package engine

import (
	"context"
	"net/http"
	"time"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail/group"
)

const (
	defaultSlots               = 16
	defaultWaiting             = 256
	defaultTokenTime           = 26 * time.Millisecond
	defaultPrefillTokensPerSec = 4000
	defaultCacheBlocks         = 4096
	defaultLoadLag             = 200 * time.Millisecond
	defaultCacheEventLag       = 300 * time.Millisecond
	maxBodyBytes               = 4 << 20
)

// Settings says how the engine behaves; zero values stand for the defaults.
type Settings struct {
	// Model is the model that the engine serves.
	Model string
	// Version is the version of the model.
	Version string
	// Slots is how many streams the batch holds.
	Slots int
	// MaxWaiting is how many streams may wait for a slot.
	MaxWaiting int
	// TokenTime is the time of one token.
	TokenTime time.Duration
	// PrefillTokensPerSecond is the speed of computing the prompt.
	PrefillTokensPerSecond float64
	// CacheBlocks is the memory of the prefix cache in blocks.
	CacheBlocks int
	// LoadLag is how old a load report is; negative for not at all.
	LoadLag time.Duration
	// CacheEventLag is how late cache events are published; negative for not at all.
	CacheEventLag time.Duration
	// CacheGapShare is the share of cache events that are lost.
	CacheGapShare float64
	// ChecksFencing says whether an order with an old fencing number is refused.
	ChecksFencing bool
	// FetchWeights fetches a version from the weight store, nil for no wait.
	FetchWeights func(ctx context.Context, model, version string) error
	// OnServingChange tells of a change of model or version by an order, nil for nobody.
	OnServingChange func(model, version string)
	// Exit ends the process, nil for an engine that only stops answering.
	Exit func()
}

// withDefaults returns the settings with each zero value replaced.
func (s Settings) withDefaults() Settings {
	replace(&s.Slots, defaultSlots)
	replace(&s.MaxWaiting, defaultWaiting)
	replace(&s.TokenTime, defaultTokenTime)
	replace(&s.PrefillTokensPerSecond, defaultPrefillTokensPerSec)
	replace(&s.CacheBlocks, defaultCacheBlocks)
	replace(&s.LoadLag, defaultLoadLag)
	replace(&s.CacheEventLag, defaultCacheEventLag)
	return s
}

func replace[T comparable](value *T, byDefault T) {
	var zero T
	if *value == zero {
		*value = byDefault
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

// Close ends the engine's goroutines.
func (s *Server) Close() { s.group.Stop() }

// Leave makes the engine refuse new streams.
func (s *Server) Leave() { s.batch.change(func(c *control) { c.leaving = true }) }

// Leaving reports whether the engine refuses new streams.
func (s *Server) Leaving() bool { return s.batch.controlNow().leaving }

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	s.echo.ServeHTTP(w, r)
}

func (s *Server) routes() {
	g := s.echo.Group("", s.silence)
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

// problem is the body of a refusal.
type problem struct {
	Reason string `json:"reason"`
}
