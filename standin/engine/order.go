package engine

import (
	"net/http"
	"sync"

	"github.com/labstack/echo/v4"

	"dandelionrail.org/rail/standin"
)

// serving is what the engine serves, and the highest fencing number among the orders.
type serving struct {
	mu      sync.Mutex
	model   string
	version string
	role    string
	fencing int64
}

// matches reports whether the engine serves the version of the model; an empty version matches any.
func (s *serving) matches(model, version string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.model == model && (version == "" || s.version == version)
}

// acceptFence records a fencing number; it reports false if a higher one came before.
func (s *serving) acceptFence(n int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if n < s.fencing {
		return false
	}
	s.fencing = n
	return true
}

// apply sets the fields that are not empty and reports whether the model or the version changed.
func (s *serving) apply(b orderBody) bool {
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

// postOrder loads a version or changes the role; it also refuses an order that was superseded while its weights were loading.
func (s *Server) postOrder(c echo.Context) error {
	var b orderBody
	if err := standin.Decode(c, &b); err != nil {
		return err
	}
	if !s.checkFence(b) {
		return c.JSON(http.StatusConflict, problem{Reason: "old fencing number"})
	}
	if b.Serves != "" && !s.serving.matches(b.Serves, b.Version) && s.settings.FetchWeights != nil {
		if err := s.settings.FetchWeights(c.Request().Context(), b.Serves, b.Version); err != nil {
			return c.JSON(http.StatusBadGateway, problem{Reason: "weights: " + err.Error()})
		}
	}
	if !s.checkFence(b) {
		return c.JSON(http.StatusConflict, problem{Reason: "old fencing number"})
	}
	if s.serving.apply(b) && s.settings.OnServingChange != nil {
		s.settings.OnServingChange(b.Serves, b.Version)
	}
	return c.NoContent(http.StatusNoContent)
}

// checkFence records the order's fencing number and reports whether the order may proceed; without ChecksFencing, each may.
func (s *Server) checkFence(b orderBody) bool {
	return s.serving.acceptFence(b.Fencing) || !s.settings.ChecksFencing
}
