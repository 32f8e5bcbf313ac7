package service

import (
	"net/http"

	"github.com/labstack/echo/v4"
)

// maxCountedNames is the capacity of each counter; the oldest names are dropped first.
const maxCountedNames = 1 << 20

// counts is the number of runs by request id, and by path for all methods but GET and HEAD.
type counts struct {
	byRequest counter
	byPath    counter
}

func newCounts() counts { return counts{byRequest: newCounter(), byPath: newCounter()} }

func (c *counts) add(id, method, path string) {
	if id != "" {
		c.byRequest.add(id)
	}
	if method != http.MethodGet && method != http.MethodHead {
		c.byPath.add(path)
	}
}

// counter counts runs by name and drops the oldest names when it is full.
type counter struct {
	runs  map[string]int
	order []string
}

func newCounter() counter { return counter{runs: map[string]int{}} }

func (n *counter) add(name string) {
	if _, ok := n.runs[name]; !ok {
		n.order = append(n.order, name)
	}
	n.runs[name]++
	if len(n.order) > maxCountedNames {
		delete(n.runs, n.order[0])
		n.order = n.order[1:]
	}
}

type runsAnswer struct {
	Runs int `json:"runs"`
}

// getRuns returns the number of runs of one path if the query has one, else of one request id.
func (s *Server) getRuns(c echo.Context) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if path := c.QueryParam("path"); path != "" {
		return c.JSON(http.StatusOK, runsAnswer{Runs: s.runs.byPath.runs[path]})
	}
	return c.JSON(http.StatusOK, runsAnswer{Runs: s.runs.byRequest.runs[c.QueryParam("id")]})
}
