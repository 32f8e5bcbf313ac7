package main

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"dandelionrail.org/rail/gateway"
)

// Environment variables that switch the address for explanations on; both must be set.
const (
	explainAddressVariable   = "DANDELIONRAIL_EXPLAIN_ADDRESS"
	explainTokenFileVariable = "DANDELIONRAIL_EXPLAIN_TOKEN_FILE" //nolint:gosec // The name of a variable with a path.
)

const (
	explainPath = "/explain"
	// minTokenLength is the shortest accepted token.
	minTokenLength  = 16
	maxExplainBytes = 64 << 10
	explainTimeout  = 5 * time.Second
)

// explainRequest is the body of a question for an explanation.
type explainRequest struct {
	ID        string   `json:"id"`
	Host      string   `json:"host"`
	Path      string   `json:"path"`
	Team      string   `json:"team"`
	Prompt    int64    `json:"promptTokens"`
	Output    int64    `json:"outputTokens"`
	Parts     []string `json:"parts"`
	TimeoutMs int64    `json:"timeoutMs"`
}

// query checks the request and returns it for the gateway.
func (r explainRequest) query() (gateway.ExplainQuery, error) {
	switch {
	case r.Host == "":
		return gateway.ExplainQuery{}, errors.New("host: state the host of the request")
	case !strings.HasPrefix(r.Path, "/"):
		return gateway.ExplainQuery{}, errors.New("path: state a path that begins with a slash")
	case r.Prompt < 0 || r.Output < 0:
		return gateway.ExplainQuery{}, errors.New("tokens: state numbers that are not negative")
	case r.TimeoutMs < 0:
		return gateway.ExplainQuery{}, errors.New("timeoutMs: state a number that is not negative")
	}
	var parts []gateway.PromptPart
	for _, field := range r.Parts {
		id, size, ok := strings.Cut(field, ":")
		tokens, err := strconv.ParseInt(size, 10, 64)
		if !ok || id == "" || err != nil || tokens < 0 {
			return gateway.ExplainQuery{}, errors.Errorf("parts: %q is not of the form ID:TOKENS", field)
		}
		parts = append(parts, gateway.NewPromptPart(id, tokens))
	}
	q := gateway.NewExplainQuery(r.ID, r.Host, r.Path).WithTeam(r.Team).WithTimeout(time.Duration(r.TimeoutMs) * time.Millisecond)
	if r.Prompt > 0 || r.Output > 0 || len(parts) > 0 {
		q = q.WithTokens(r.Prompt, r.Output, parts)
	}
	return q, nil
}

// explainSettings are the address and the token of the explanations; the zero value switches them off.
type explainSettings struct{ address, token string }

// readExplainSettings reads the settings of the explanations from the environment.
func readExplainSettings(getenv func(string) string) (explainSettings, error) {
	address, file := getenv(explainAddressVariable), getenv(explainTokenFileVariable)
	if address == "" && file == "" {
		return explainSettings{}, nil
	}
	if address == "" || file == "" {
		return explainSettings{}, errors.Errorf("set both %s and %s, or none", explainAddressVariable, explainTokenFileVariable)
	}
	host, _, err := net.SplitHostPort(address)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return explainSettings{}, errors.Errorf("%s: state a port of a loopback address, such as 127.0.0.1:9470", explainAddressVariable)
	}
	token, err := readToken(file)
	if err != nil {
		return explainSettings{}, err
	}
	return explainSettings{address, token}, nil
}

// readToken reads a token from the first line of a file.
func readToken(file string) (string, error) {
	b, err := os.ReadFile(file) //nolint:gosec // The operator names the file.
	if err != nil {
		return "", errors.Wrap(err, "readToken")
	}
	token, _, _ := strings.Cut(strings.TrimSpace(string(b)), "\n")
	if token = strings.TrimSpace(token); len(token) < minTokenLength {
		return "", errors.Errorf("%s: the token has fewer than %d characters", file, minTokenLength)
	}
	return token, nil
}

// explainHandler answers questions for explanations that carry the token.
func explainHandler(g *gateway.Gateway, token string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+explainPath, func(w http.ResponseWriter, r *http.Request) {
		given, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if subtle.ConstantTimeCompare([]byte(given), []byte(token)) != 1 {
			http.Error(w, "the token is missing or wrong", http.StatusUnauthorized)
			return
		}
		var body explainRequest
		decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes))
		decoder.DisallowUnknownFields()
		if err := decoder.Decode(&body); err != nil {
			http.Error(w, "the body is not valid: "+err.Error(), http.StatusBadRequest)
			return
		}
		query, err := body.query()
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		var x gateway.Explanation
		g.View(func(s *gateway.State) { x = s.Explain(time.Now(), query) })
		answer, err := x.JSON()
		if err != nil {
			http.Error(w, err.Error(), http.StatusInternalServerError)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(answer) // The asker may have disconnected.
	})
	return mux
}

const usageExplain = `Asks a running gateway where a request would go now, and why, without sending it.
The gateway answers on a loopback address if DANDELIONRAIL_EXPLAIN_ADDRESS and
DANDELIONRAIL_EXPLAIN_TOKEN_FILE were set at its start.`

// explainCommand is `dandelionrail explain`.
type explainCommand struct {
	command            *flaggy.Subcommand
	address, tokenFile string
	request            explainRequest
	tokens, parts      string
	json               bool
}

func newExplain() *explainCommand {
	c := &explainCommand{command: flaggy.NewSubcommand("explain"), address: "127.0.0.1:9470"}
	c.command.Description = usageExplain
	c.command.String(&c.address, "a", "address", "the gateway's address for explanations")
	c.command.String(&c.tokenFile, "f", "token-file", "the file with the token")
	c.command.String(&c.request.Host, "H", "host", "the request's host")
	c.command.String(&c.request.Path, "p", "path", "the request's path")
	c.command.String(&c.request.Team, "t", "team", "the name of the request's team")
	c.command.String(&c.request.ID, "i", "id", "the request's id")
	c.command.String(&c.tokens, "n", "tokens", "prompt tokens and the maximum number of output tokens, such as 1460,80")
	c.command.String(&c.parts, "x", "parts", "the parts of the prompt, such as 5c1e:800,91bd:410")
	c.command.Int64(&c.request.TimeoutMs, "w", "timeout-ms", "how long the caller waits, in milliseconds")
	c.command.Bool(&c.json, "j", "json", "print JSON")
	return c
}

func (c *explainCommand) run() int {
	if err := c.readFlags(); err != nil {
		return fail(exitBadInput, err)
	}
	token, err := readToken(c.tokenFile)
	if err != nil {
		return fail(exitBadInput, err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), explainTimeout)
	defer cancel()
	if err := c.ask(ctx, token, os.Stdout); err != nil {
		return fail(exitFailed, err)
	}
	return exitOK
}

// readFlags completes the request by the flags that hold several values, and checks it.
func (c *explainCommand) readFlags() error {
	if c.tokenFile == "" {
		return errors.New("state --token-file")
	}
	if c.tokens != "" {
		prompt, output, ok := strings.Cut(c.tokens, ",")
		var err, outputErr error
		c.request.Prompt, err = strconv.ParseInt(strings.TrimSpace(prompt), 10, 64)
		c.request.Output, outputErr = strconv.ParseInt(strings.TrimSpace(output), 10, 64)
		if !ok || err != nil || outputErr != nil {
			return errors.Errorf("tokens: %q is not of the form PROMPT,OUTPUT", c.tokens)
		}
	}
	if c.parts != "" {
		c.request.Parts = strings.Split(c.parts, ",")
	}
	_, err := c.request.query()
	return err
}

// ask asks the gateway and prints its answer.
func (c *explainCommand) ask(ctx context.Context, token string, out io.Writer) error {
	body, err := json.Marshal(c.request)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+explainPath, strings.NewReader(string(body)))
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	r.Header.Set("Authorization", "Bearer "+token)
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	defer func() { _ = resp.Body.Close() }() // All of it is read.
	answer, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return errors.Wrap(err, "ask")
	}
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("the gateway answers %d: %s", resp.StatusCode, strings.TrimSpace(string(answer)))
	}
	x, err := gateway.ExplanationFrom(answer)
	if err != nil {
		return err
	}
	text := x.Text()
	if c.json {
		text = string(answer) + "\n"
	}
	_, err = fmt.Fprint(out, text)
	return errors.Wrap(err, "ask")
}

// maxAnswerBytes bounds an explanation; one of 1,200 upstreams has about 400 KB.
const maxAnswerBytes = 4 << 20
