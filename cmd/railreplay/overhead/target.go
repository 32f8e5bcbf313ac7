package overhead

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// promptWords is the length of each prompt; no two prompts share a cache block.
const promptWords = 32

// Target is a server that streams are requested from.
type Target struct {
	url   string
	token string
	body  func(stream, tokens int) any
}

type engineBody struct {
	RequestID string `json:"requestId"`
	Attempt   int    `json:"attempt"`
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"maxTokens"`
}

type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// NewEngineTarget returns an engine as the target, called directly.
func NewEngineTarget(url, model string) Target {
	return Target{url: url + "/v1/stream", body: func(stream, tokens int) any {
		return engineBody{
			RequestID: fmt.Sprintf("overhead-%d", stream), Attempt: 1, Model: model, Prompt: prompt("direct", stream), MaxTokens: tokens,
		}
	}}
}

// NewEntryTarget returns an entry as the target.
func NewEntryTarget(url, model, token string) Target {
	return Target{url: url + "/v1/completions", token: token, body: func(stream, tokens int) any {
		return completionBody{Model: model, Prompt: prompt("entry", stream), MaxTokens: tokens, Stream: true}
	}}
}

func prompt(name string, stream int) string {
	return strings.TrimSuffix(strings.Repeat(fmt.Sprintf("%s%d ", name, stream), promptWords), " ")
}

// request returns the request for one stream.
func (t Target) request(ctx context.Context, stream, tokens int) (*http.Request, error) {
	body, err := json.Marshal(t.body(stream, tokens))
	if err != nil {
		return nil, errors.Wrap(err, "encode the request")
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, t.url, strings.NewReader(string(body)))
	if err != nil {
		return nil, errors.Wrap(err, "make the request")
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Authorization", "Bearer "+t.token)
	return r, nil
}
