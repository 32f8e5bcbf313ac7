package engine

import (
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail/standin"
)

// serving is what the engine serves, under the last fencing number.
type serving struct {
	mu      sync.Mutex
	model   string
	version string
	role    string
	fencing int64
}

// is reports whether the engine serves the model in the version; an empty version means any.
func (s *serving) is(model, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model == model && (version == "" || s.version == version)
}

// fence takes a fencing number and reports false if a larger one came before.
func (s *serving) fence(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n < s.fencing {
		return false
	}
	s.fencing = n
	return true
}

// change sets what is not empty and reports whether anything changed.
func (s *serving) change(b orderBody) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b.Role != "" {
		s.role = b.Role
	}
	if b.Serves == "" || s.model == b.Serves && s.version == b.Version {
		return false
	}
	s.model, s.version = b.Serves, b.Version
	return true
}

type orderBody struct {
	Fencing int64  `json:"fencing"`
	Serves  string `json:"serves"`
	Version string `json:"version"`
	Role    string `json:"role"`
}

// postOrder loads a version or changes the role; an order that was overtaken while its weights loaded is refused too.
func (s *Server) postOrder(c echo.Context) error {
	var b orderBody
	if err := standin.Decode(c, &b); err != nil {
		return err
	}
	if !s.fence(b) {
		return c.JSON(http.StatusConflict, problem{Reason: "old fencing number"})
	}
	if b.Serves != "" && !s.serving.is(b.Serves, b.Version) && s.settings.FetchWeights != nil {
		if err := s.settings.FetchWeights(c.Request().Context(), b.Serves, b.Version); err != nil {
			return c.JSON(http.StatusBadGateway, problem{Reason: "weights: " + err.Error()})
		}
	}
	if !s.fence(b) {
		return c.JSON(http.StatusConflict, problem{Reason: "old fencing number"})
	}
	if s.serving.change(b) && s.settings.OnServingChange != nil {
		s.settings.OnServingChange(b.Serves, b.Version)
	}
	return c.NoContent(http.StatusNoContent)
}

// fence checks the order's number, if this engine checks numbers at all.
func (s *Server) fence(b orderBody) bool {
	return s.serving.fence(b.Fencing) || !s.settings.ChecksFencing
}
