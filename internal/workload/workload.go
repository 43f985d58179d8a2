// Package workload makes the requests of an experiment: prompts with nested
// prefixes, of which a few are hot and shift, by teams of different sizes, at
// instants of an open-loop arrival process. Equal seeds give equal requests.
//
// # Usage
//
//	requests := workload.New(options, seed)
package workload

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
)

// Options are the properties of a workload.
type Options struct {
	// Rate is in requests a second.
	Rate     float64
	Duration time.Duration
	// Guides, Subjects and Chapters are how many there are at each level, below
	// one of the level above.
	Guides   int
	Subjects int
	Chapters int
	// GuideChunks, SubjectChunks and ChapterChunks are the lengths of the levels.
	GuideChunks   int
	SubjectChunks int
	ChapterChunks int
	// HotShare is the part of the requests that go to the hot guide, and ShiftEvery
	// how long it is hot.
	HotShare   float64
	ShiftEvery time.Duration
	// MaxTokens is the length of the answers.
	MaxTokens int64
	// Teams are the teams' parts of the requests; they need not sum to one.
	Teams []Team
}

// Team is a team's part of the requests.
type Team struct {
	Name   string
	Weight float64
}

// Request is one request.
type Request struct {
	At        time.Duration // At counts from the start.
	Team      string
	Prompt    string
	MaxTokens int64
}

// New returns the requests, the first one first.
func New(options Options, seed uint64) []Request {
	source := rand.New(rand.NewPCG(seed, 0))
	var requests []Request
	for at := next(source, options.Rate); at < options.Duration; at += next(source, options.Rate) {
		requests = append(requests, Request{
			At:        at,
			Team:      pickTeam(source, options.Teams),
			Prompt:    options.prompt(source, at),
			MaxTokens: options.MaxTokens,
		})
	}
	return requests
}

// next returns the time to the next request of a Poisson process.
func next(source *rand.Rand, rate float64) time.Duration {
	return time.Duration(source.ExpFloat64() / rate * float64(time.Second))
}

func pickTeam(source *rand.Rand, teams []Team) string {
	total := 0.0
	for _, team := range teams {
		total += team.Weight
	}
	at := source.Float64() * total
	for _, team := range teams {
		at -= team.Weight
		if at < 0 {
			return team.Name
		}
	}
	return teams[len(teams)-1].Name
}

// prompt returns a guide, a subject of it, a chapter of that, and a question that
// nobody has asked before.
func (o Options) prompt(source *rand.Rand, at time.Duration) string {
	guide := source.IntN(o.Guides)
	if source.Float64() < o.HotShare {
		guide = int(at/o.ShiftEvery) % o.Guides
	}
	subject := source.IntN(o.Subjects)
	chapter := source.IntN(o.Chapters)
	text := &strings.Builder{}
	writeLevel(text, fmt.Sprintf("guide %d. ", guide), o.GuideChunks)
	writeLevel(text, fmt.Sprintf("guide %d subject %d. ", guide, subject), o.SubjectChunks)
	writeLevel(text, fmt.Sprintf("guide %d subject %d chapter %d. ", guide, subject, chapter), o.ChapterChunks)
	fmt.Fprintf(text, "Question %d: does the scheme of work fit?", source.Uint64())
	return text.String()
}

// writeLevel repeats the sentence until the level has its length.
func writeLevel(text *strings.Builder, sentence string, chunks int) {
	length := chunks * chunker.ChunkTokens * chunker.BytesPerToken
	start := text.Len()
	for text.Len()-start+len(sentence) <= length {
		text.WriteString(sentence)
	}
	text.WriteString(strings.Repeat(".", length-(text.Len()-start)))
}
