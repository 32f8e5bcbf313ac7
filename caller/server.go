package caller

import (
	"crypto/sha256"
	"encoding/hex"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"
	"github.com/labstack/echo/v4/middleware"

	"dandelionrail.org/rail"
	"dandelionrail.org/rail/answer"
)

// Documents gives the document in force.
type Documents interface {
	// InForce returns the document, with number zero if there is none yet.
	InForce() rail.Document
}

// AnswerSource gives out answers, wherever they are held.
type AnswerSource interface {
	// Open returns a reader of the answer to a request of the team.
	Open(team rail.TeamName, id rail.RequestID) *answer.Reader
}

// AnswerStore makes room for an answer so that readers may wait for it.
type AnswerStore interface {
	// Open makes the room; opening it again does nothing.
	Open(id rail.RequestID, team rail.TeamName)
}

// Recorder counts what callers got.
type Recorder interface {
	// RequestDone counts a request that ended and how long it took.
	RequestDone(route rail.RouteName, kind rail.Kind, took time.Duration)
	// FirstToken records the time to a request's first token.
	FirstToken(route rail.RouteName, took time.Duration)
	// Tokens counts tokens handed to callers.
	Tokens(n int)
}

// Server answers callers.
type Server struct {
	desk      rail.Mailbox
	documents Documents
	answers   AnswerSource
	room      AnswerStore
	recorder  Recorder
	newID     func() rail.RequestID
	maxBody   int
	patience  time.Duration
	leaving   func() bool
}

// New returns a server; newID draws the ids of requests, maxBody is the largest
// body in bytes, patience how long a caller may wait, leaving whether the
// balancer shall send nothing more.
func New(desk rail.Mailbox, documents Documents, answers AnswerSource, room AnswerStore, recorder Recorder,
	newID func() rail.RequestID, maxBody int, patience time.Duration, leaving func() bool,
) *Server {
	return &Server{desk, documents, answers, room, recorder, newID, maxBody, patience, leaving}
}

// Handler returns the handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = handleError
	e.Use(middleware.Recover(), s.limitBody)
	e.GET("/healthz", s.health)
	e.POST("/v1/completions", s.complete)
	e.POST("/v1/chat/completions", s.complete)
	e.GET("/v1/answers/:id", s.answer)
	e.POST("/v1/tickets", s.ticket)
	e.Any("/s/:route", s.service)
	e.Any("/s/:route/*", s.service)
	return e
}

// limitBody bounds the bytes read of a body whose length the caller did not state.
func (s *Server) limitBody(next echo.HandlerFunc) echo.HandlerFunc {
	return func(c echo.Context) error {
		r := c.Request()
		if r.ContentLength > int64(s.maxBody) {
			return refuse(c, "", rail.KindTooLarge, "the body is over the limit of this entry")
		}
		r.Body = http.MaxBytesReader(c.Response(), r.Body, int64(s.maxBody))
		return next(c)
	}
}

// health tells the balancer whether to send requests here.
func (s *Server) health(c echo.Context) error {
	if s.leaving() {
		return refuse(c, "", rail.KindLeaving, "")
	}
	if s.documents.InForce().Number() == 0 {
		return refuse(c, "", rail.KindNotReady, "no document is in force yet")
	}
	return c.NoContent(http.StatusNoContent)
}

// team returns the team of the bearer token.
func (s *Server) team(c echo.Context, d rail.Document) (rail.Team, error) {
	if d.Number() == 0 {
		return rail.Team{}, rail.NewError(rail.KindNotReady, "no document is in force yet")
	}
	token, ok := strings.CutPrefix(c.Request().Header.Get(echo.HeaderAuthorization), "Bearer ")
	if !ok {
		return rail.Team{}, rail.NewError(rail.KindUnknownTeam, "the request carries no bearer token")
	}
	hash := sha256.Sum256([]byte(token))
	t, ok := d.TeamByTokenHash(hex.EncodeToString(hash[:]))
	if !ok {
		return rail.Team{}, rail.NewError(rail.KindUnknownTeam, "the bearer token belongs to no team")
	}
	return t, nil
}

// newRequest returns the request that the caller's team sends on the route.
func (s *Server) newRequest(t rail.Team, r rail.Route) rail.Request {
	now := time.Now()
	request := rail.NewRequest(s.newID(), t.Name(), r.Name(), now).WithPriority(t.Priority())
	if r.Deadline() > 0 {
		request = request.WithDeadline(now.Add(r.Deadline()))
	}
	return request
}
