package emulator

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"dandelionrail.org/rail"
)

// Arrival is one request at one entry.
type Arrival struct {
	at      time.Duration
	entry   int
	request rail.Request
}

// Trace is the traffic of one run, ordered by time.
type Trace struct{ arrivals []Arrival }

// Size returns the number of requests.
func (t Trace) Size() int { return len(t.arrivals) }

// There are three kinds of requests: drafts have long answers, questions belong to conversations of several
// turns, and tags, the rest, have short answers.
const (
	draftShare    = 0.2
	questionShare = 0.5
	maxTurns      = 5
	templateCount = 40
	templateWords = 500
	// teamSkew is the share of the remaining requests that each team in turn gets, so that the first teams are large.
	teamSkew = 0.45
	// templateSkew is the exponent of the skew in the popularity of templates.
	templateSkew = 0.8
)

// conversation is a sequence of questions; each turn extends its prompt.
type conversation struct {
	team   rail.TeamName
	prompt string
	turns  int
}

// generator generates one trace.
type generator struct {
	settings      Settings
	rng           *rand.Rand
	templates     []string
	conversations []*conversation
	lastWord      int
}

// Generate returns the trace of the settings: the rate rises to the dawn peak and falls again; prompts share prefixes; there are five teams.
func Generate(s Settings) Trace {
	g := &generator{settings: s, rng: rand.New(rand.NewPCG(s.seed, 7))}
	for range templateCount {
		g.templates = append(g.templates, g.uniqueWords(templateWords/2+g.rng.IntN(templateWords)))
	}
	var t Trace
	for at := time.Duration(0); ; {
		at += time.Duration(g.rng.ExpFloat64() / g.rate(at) * float64(time.Second))
		if at >= s.length {
			return t
		}
		id := rail.RequestID(fmt.Sprintf("r%d", len(t.arrivals)))
		t.arrivals = append(t.arrivals, Arrival{at: at, entry: g.rng.IntN(s.entries), request: g.request(id, at)})
	}
}

// rate returns the requests per second at the time; the peak is in the middle of the trace.
func (g *generator) rate(at time.Duration) float64 {
	x := 2*at.Seconds()/g.settings.length.Seconds() - 1
	return g.settings.baseRate + (g.settings.peakRate-g.settings.baseRate)*math.Exp(-4*x*x)
}

func (g *generator) request(id rail.RequestID, at time.Duration) rail.Request {
	team := g.team()
	prompt, tokens := "", 0
	switch x := g.rng.Float64(); {
	case x < draftShare:
		prompt, tokens = g.template()+g.uniqueWords(60+g.rng.IntN(60)), 150+g.rng.IntN(150)
	case x < draftShare+questionShare:
		prompt, tokens = g.question(team), 30+g.rng.IntN(60)
	default:
		prompt, tokens = g.template()+g.uniqueWords(20), 8
	}
	return rail.NewRequest(id, team, routeName, startTime.Add(at)).WithPrompt(prompt, tokens)
}

// question returns the prompt of the next turn of a conversation of the team, or of a new one.
func (g *generator) question(team rail.TeamName) string {
	for range 4 {
		if len(g.conversations) == 0 {
			break
		}
		i := g.rng.IntN(len(g.conversations))
		c := g.conversations[i]
		if c.team != team {
			continue
		}
		c.prompt += g.uniqueWords(60 + g.rng.IntN(80))
		c.turns++
		if c.turns >= maxTurns {
			g.conversations[i] = g.conversations[len(g.conversations)-1]
			g.conversations = g.conversations[:len(g.conversations)-1]
		}
		return c.prompt
	}
	c := &conversation{team: team, prompt: g.template() + g.uniqueWords(40), turns: 1}
	g.conversations = append(g.conversations, c)
	return c.prompt
}

func (g *generator) team() rail.TeamName {
	n := 0
	for n < 4 && g.rng.Float64() > teamSkew {
		n++
	}
	return rail.TeamName(fmt.Sprintf("team%d", n))
}

// template returns a shared prefix; a few of them are used much more than the others.
func (g *generator) template() string {
	n := int(math.Pow(g.rng.Float64(), 1/(1-templateSkew/2)*1.5) * templateCount)
	return g.templates[min(n, templateCount-1)]
}

// uniqueWords returns n words that occur nowhere else in the trace.
func (g *generator) uniqueWords(n int) string {
	var b strings.Builder
	for range n {
		g.lastWord++
		fmt.Fprintf(&b, "w%d ", g.lastWord)
	}
	return b.String()
}
