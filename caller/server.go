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

// Documents provides the document in force.
type Documents interface {
	// InForce returns the document, with number zero if there is none yet.
	InForce() rail.Document
}

// AnswerSource provides answers, whichever entry holds them.
type AnswerSource interface {
	// Open returns a reader of the answer to a request of the team.
	Open(team rail.TeamName, id rail.RequestID) *answer.Reader
}

// AnswerStore creates the answers that readers wait for.
type AnswerStore interface {
	// Open adds an empty answer, so that readers can wait for it; a second call does nothing.
	Open(id rail.RequestID, team rail.TeamName)
}

// Recorder records metrics of the answers to callers.
type Recorder interface {
	// RequestDone counts a request that ended and how long it took.
	RequestDone(route rail.RouteName, kind rail.Kind, took time.Duration)
	// FirstToken records the time to a request's first token.
	FirstToken(route rail.RouteName, took time.Duration)
	// Tokens counts tokens sent to callers.
	Tokens(n int)
}

// Server handles the requests of callers.
type Server struct {
	mailbox   rail.Mailbox
	documents Documents
	source    AnswerSource
	store     AnswerStore
	recorder  Recorder
	newID     func() rail.RequestID
	maxBody   int
	maxWait   time.Duration
	leaving   func() bool
}

// New returns a server. newID returns new request ids, maxBody is the largest body
// in bytes, maxWait bounds how long a caller waits for an answer that is not
// streamed, and leaving reports whether the balancer should stop sending requests.
func New(mailbox rail.Mailbox, documents Documents, source AnswerSource, store AnswerStore, recorder Recorder,
	newID func() rail.RequestID, maxBody int, maxWait time.Duration, leaving func() bool,
) *Server {
	return &Server{mailbox, documents, source, store, recorder, newID, maxBody, maxWait, leaving}
}

// Handler returns the handler of the callers' listener.
func (s *Server) Handler() http.Handler {
	e := echo.New()
	e.HTTPErrorHandler = handleError
	e.Use(middleware.Recover(), s.limitBody)
	e.GET("/healthz", s.handleHealth)
	e.POST("/v1/completions", s.handleCompletion)
	e.POST("/v1/chat/completions", s.handleCompletion)
	e.GET("/v1/answers/:id", s.handleAnswer)
	e.POST("/v1/tickets", s.handleTicket)
	e.Any("/s/:route", s.handleService)
	e.Any("/s/:route/*", s.handleService)
	return e
}

// limitBody refuses a body whose stated length is over the limit, and bounds the bytes read of any other.
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

// handleHealth reports to the balancer whether this entry accepts requests.
func (s *Server) handleHealth(c echo.Context) error {
	if s.leaving() {
		return refuse(c, "", rail.KindLeaving, "")
	}
	if s.documents.InForce().Number() == 0 {
		return refuse(c, "", rail.KindNotReady, "no document is in force yet")
	}
	return c.NoContent(http.StatusNoContent)
}

// authenticate returns the team of the bearer token.
func (s *Server) authenticate(c echo.Context, d rail.Document) (rail.Team, error) {
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

// newRequest returns a request of the team on the route, with the team's priority and the route's deadline.
func (s *Server) newRequest(t rail.Team, r rail.Route) rail.Request {
	now := time.Now()
	request := rail.NewRequest(s.newID(), t.Name(), r.Name(), now).WithPriority(t.Priority())
	if r.Deadline() > 0 {
		request = request.WithDeadline(now.Add(r.Deadline()))
	}
	return request
}
