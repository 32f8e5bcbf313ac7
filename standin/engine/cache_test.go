package engine_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dandelionrail.org/rail/standin/engine"

	"dandelionrail.org/rail/standin"
)

type eventsBody struct {
	Events []struct {
		Sequence int    `json:"sequence"`
		Prefix   string `json:"prefix"`
		Held     bool   `json:"held"`
	} `json:"events"`
}

func events(is *is.I, e *engine.Server, from int) eventsBody {
	is.Helper()
	var b eventsBody
	r := call(context.Background(), e, http.MethodGet, fmt.Sprintf("/cacheEvents?from=%d", from), "")
	is.NoErr(json.Unmarshal([]byte(r.body), &b))
	return b
}

// repeatWord returns a prompt of n tokens.
func repeatWord(word string, n int) string { return strings.Repeat(word+" ", n) }

func promptRequest(id, prompt string) string {
	return fmt.Sprintf(`{"requestId":%q,"model":"m","prompt":%q,"maxTokens":1}`, id, prompt)
}

func TestPrefixCacheReusesBlocksWithinCapacity(t *testing.T) {
	run(t, engine.Settings{CacheBlocks: 4}, func(is *is.I, e *engine.Server) {
		a, b := repeatWord("a", 50), repeatWord("b", 50)
		steps := []struct {
			prompt     string
			recomputed int
		}{
			{a, 50},
			{a, 2},
			{repeatWord("a", 16) + repeatWord("c", 16), 16},
			{b, 50},
			{b, 2},
			{a, 34}, // one block of a is left: those of b and c evicted the others
		}
		for i, s := range steps {
			is.Equal(stream(e, promptRequest(fmt.Sprint(i), s.prompt)).end.RecomputedTokens, s.recomputed)
		}
		totals := call(context.Background(), e, http.MethodGet, "/totals", "").body
		is.Equal(totals, `{"streams":6,"promptTokens":282,"recomputedTokens":154,"generatedTokens":6}`+"\n")
	})
}

func TestCacheEventsLag(t *testing.T) {
	run(t, engine.Settings{CacheBlocks: 2, CacheEventLag: time.Minute}, func(is *is.I, e *engine.Server) {
		stream(e, promptRequest("r", repeatWord("a", 32)))
		is.Equal(len(events(is, e, 0).Events), 0)
		time.Sleep(time.Minute)
		es := events(is, e, 0).Events
		is.Equal(len(es), 2)
		is.Equal(es[0].Prefix, fmt.Sprintf("%016x", standin.PrefixHashes(repeatWord("a", 32))[1]))
		is.Equal(len(events(is, e, es[1].Sequence).Events), 1)
		stream(e, promptRequest("s", repeatWord("b", 16)))
		time.Sleep(time.Minute)
		es = events(is, e, es[1].Sequence+1).Events
		is.Equal(len(es), 2)
		is.True(es[0].Held)
		is.True(!es[1].Held)
	})
}

func TestCacheEventsHaveGaps(t *testing.T) {
	run(t, engine.Settings{CacheEventLag: -1, CacheGapShare: 0.3}, func(is *is.I, e *engine.Server) {
		stream(e, promptRequest("r", repeatWord("a", 1600)))
		es := events(is, e, 0).Events
		is.True(len(es) > 50 && len(es) < 90)
	})
}

func TestExportAndImport(t *testing.T) {
	run(t, engine.Settings{}, func(is *is.I, e *engine.Server) {
		a := repeatWord("a", 40)
		stream(e, promptRequest("r", a))
		body := fmt.Sprintf(`{"prefix":"%016x"}`, standin.PrefixHashes(a)[1])
		r := call(context.Background(), e, http.MethodPost, "/kv/export", body)
		is.Equal(r.status, http.StatusOK)
		is.True(strings.Contains(r.body, `"tokens":32`))
		is.Equal(call(context.Background(), e, http.MethodPost, "/kv/export", `{"prefix":"1"}`).status, http.StatusNotFound)

		f := engine.New(engine.Settings{Model: "m"})
		defer f.Close()
		post(is, f, "/kv/import", r.body)
		is.Equal(stream(f, promptRequest("s", a)).end.RecomputedTokens, 8)
		is.Equal(call(context.Background(), f, http.MethodPost, "/kv/import", `{"blob":"AAA="}`).status, http.StatusBadRequest)
	})
}
