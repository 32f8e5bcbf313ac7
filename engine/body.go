package engine

import "dandelionrail.org/rail"

type streamBody struct {
	RequestID rail.RequestID `json:"requestId"`
	Attempt   int            `json:"attempt"`
	Model     string         `json:"model"`
	Version   rail.Version   `json:"version"`
	Prompt    string         `json:"prompt"`
	MaxTokens int            `json:"maxTokens"`
	Priority  int            `json:"priority"`
	Resume    resumeBody     `json:"resume"`
}

type resumeBody struct {
	Offset int    `json:"offset"`
	Text   string `json:"text"`
}

type tokenBody struct {
	Offset *int   `json:"offset"`
	Text   string `json:"text"`
}

type usageBody struct {
	Prompt     int `json:"promptTokens"`
	Recomputed int `json:"recomputedTokens"`
	Generated  int `json:"generatedTokens"`
}

type errorBody struct {
	Reason string `json:"reason"`
}

type cancelBody struct {
	RequestID rail.RequestID `json:"requestId"`
	Attempt   int            `json:"attempt"`
}

type loadBody struct {
	Running int   `json:"running"`
	Waiting int   `json:"waiting"`
	Slots   int   `json:"slots"`
	AsOfMs  int64 `json:"asOfMs"`
	Leaving bool  `json:"leaving"`
}

type cacheBody struct {
	Events []struct {
		Sequence uint64 `json:"sequence"`
		Prefix   string `json:"prefix"`
		Held     bool   `json:"held"`
	} `json:"events"`
}

type orderBody struct {
	Fencing rail.Offset  `json:"fencing"`
	Serves  string       `json:"serves"`
	Version rail.Version `json:"version"`
}
