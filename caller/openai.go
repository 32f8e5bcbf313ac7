package caller

import (
	"strings"

	"dandelionrail.org/rail"
)

// The requests and responses of the OpenAI API that callers use.

type completionRequest struct {
	Model     string        `json:"model"`
	Prompt    string        `json:"prompt"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completion struct {
	ID      rail.RequestID `json:"id"`
	Object  string         `json:"object"`
	Model   string         `json:"model,omitempty"`
	Choices []choice       `json:"choices"`
}

type choice struct {
	Index        int          `json:"index"`
	Text         string       `json:"text,omitempty"`
	Message      *chatMessage `json:"message,omitempty"`
	Delta        *chatMessage `json:"delta,omitempty"`
	FinishReason *string      `json:"finish_reason"`
}

const finishStop = "stop"

// prompt returns the text that is sent to the engine.
func (r completionRequest) prompt() string {
	if len(r.Messages) == 0 {
		return r.Prompt
	}
	var b strings.Builder
	for _, m := range r.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(m.Content)
		b.WriteString("\n")
	}
	return b.String()
}

// responseFormat selects the response format: chat or text completion.
type responseFormat struct {
	chat  bool
	model string
}

func (f responseFormat) chunk(id rail.RequestID, text string) completion {
	c := choice{Text: text}
	object := "text_completion"
	if f.chat {
		c = choice{Delta: &chatMessage{Role: "assistant", Content: text}}
		object = "chat.completion.chunk"
	}
	return completion{ID: id, Object: object, Model: f.model, Choices: []choice{c}}
}

func (f responseFormat) complete(id rail.RequestID, text string) completion {
	stop := finishStop
	c := choice{Text: text, FinishReason: &stop}
	object := "text_completion"
	if f.chat {
		c = choice{Message: &chatMessage{Role: "assistant", Content: text}, FinishReason: &stop}
		object = "chat.completion"
	}
	return completion{ID: id, Object: object, Model: f.model, Choices: []choice{c}}
}
