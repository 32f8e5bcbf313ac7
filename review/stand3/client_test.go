package stand3

import (
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

func randomHex(n int) string {
	b := make([]byte, n)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

// call is a client attempt.
type call struct {
	id, method, host, path, key string
	prompt, output              int
	parts                       string
	partLines                   []string // The parts, if each has a line of its own.
	body                        []byte
	deadline                    time.Duration
	// patience is how long the client waits, until its deadline if zero.
	patience time.Duration
}

// outcome is what the client of a call saw.
type outcome struct {
	status int
	events int
	err    error
	took   time.Duration
}

func (o outcome) String() string {
	return fmt.Sprintf("status %d, %d events, %v, after %v", o.status, o.events, o.err, o.took.Round(time.Millisecond))
}

// complete reports whether the client got a success with all events of its stream.
func (o outcome) complete() bool { return o.err == nil && o.status == http.StatusOK }

// send makes the attempt at the gateway.
func (g *gatewayProcess) send(c *call) outcome {
	begun := time.Now()
	patience := c.deadline
	if c.patience > 0 {
		patience = c.patience
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, c.method, "http://"+g.front+c.path, bytes.NewReader(c.body))
	if err != nil {
		return outcome{err: err}
	}
	r.Host = c.host
	r.Header.Set("X-Request-Id", c.id)
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(c.deadline.Milliseconds(), 10))
	if c.key != "" {
		r.Header.Set("Authorization", "Token "+c.key)
	}
	if c.prompt > 0 {
		r.Header.Set("X-Model", "m")
		r.Header.Set("X-Token-Count", fmt.Sprintf("%d,%d", c.prompt, c.output))
		r.Header["X-Prompt-Prefix"] = append(c.partLines, c.parts)[:max(1, len(c.partLines))]
	}
	resp, err := g.client.Do(r)
	if err != nil {
		return outcome{err: err, took: time.Since(begun)}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return outcome{status: resp.StatusCode, events: strings.Count(string(b), "\n\n"), err: err, took: time.Since(begun)}
}

// The names of the deployment of the cases.
const (
	host          = "ficu95.example"
	engineService = "huvo11a"
	orderService  = "wuno96b"
)

// putConfig writes the operator's configuration.
func (e *environment) putConfig(version int, routes, services, tenants []map[string]any) {
	value, _ := json.Marshal(map[string]any{
		"Version": version, "Routes": routes, "Services": services, "Tenants": tenants,
		"Limits": map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	})
	e.store.put("keyed.op", "config", value)
	e.note("configuration %s", value)
}

func engineDefinition(slots int) map[string]any {
	return map[string]any{"Name": engineService, "HealthPath": "/health", "MaxConns": 360, "Protocol": "h1", "Tls": false, "Engine": map[string]any{
		"Slots": slots, "KvCapacity": 551359, "KvTokenBytes": 18432, "LinkMbps": 550000.0, "Moves": true, "Backups": true, "Stride": 6, "most": 12,
		"PinMs": 4000.0, "HoldMs": 2000.0, "HandleS": 5.0, "Models": []any{map[string]any{"Name": "m"}},
	}}
}
