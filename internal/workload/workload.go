// Package workload generates the requests of an experiment. Prompts have nested
// common prefixes, one of which is hot at a time; teams send different shares of
// the requests; arrivals are a Poisson process, independent of the responses
// (open-loop). The same seed gives the same requests.
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

// Options are the parameters of a workload.
type Options struct {
	// Rate is the mean arrival rate in requests a second.
	Rate     float64
	Duration time.Duration
	// A prompt begins with a guide, one of its subjects and one of that subject's
	// chapters. Guides is the number of guides, Subjects that of subjects in a guide,
	// Chapters that of chapters in a subject.
	Guides   int
	Subjects int
	Chapters int
	// GuideChunks, SubjectChunks and ChapterChunks are the lengths of their texts in
	// chunks.
	GuideChunks   int
	SubjectChunks int
	ChapterChunks int
	// HotGuideShare is the share of the requests that always use the hot guide,
	// HotGuideInterval the interval after which the next guide becomes the hot one.
	HotGuideShare    float64
	HotGuideInterval time.Duration
	// MaxTokens is the maximum length of a response in tokens.
	MaxTokens int64
	// Teams are the teams that send the requests. Their weights need not sum to one.
	Teams []Team
}

// Team is a team and the relative weight of its share of the requests.
type Team struct {
	Name   string
	Weight float64
}

// Request is a request and its scheduled send time.
type Request struct {
	Offset    time.Duration // Offset is the scheduled send time, from the start.
	Team      string
	Prompt    string
	MaxTokens int64
}

// New returns the requests in the order of their send times.
func New(options Options, seed uint64) []Request {
	random := rand.New(rand.NewPCG(seed, 0))
	var requests []Request
	for offset := nextInterval(random, options.Rate); offset < options.Duration; offset += nextInterval(random, options.Rate) {
		requests = append(requests, Request{
			Offset:    offset,
			Team:      pickTeam(random, options.Teams),
			Prompt:    options.prompt(random, offset),
			MaxTokens: options.MaxTokens,
		})
	}
	return requests
}

// nextInterval returns the time to the next request of a Poisson process.
func nextInterval(random *rand.Rand, rate float64) time.Duration {
	return time.Duration(random.ExpFloat64() / rate * float64(time.Second))
}

// pickTeam returns the name of a random team, chosen by weight.
func pickTeam(random *rand.Rand, teams []Team) string {
	total := 0.0
	for _, team := range teams {
		total += team.Weight
	}
	remaining := random.Float64() * total
	for _, team := range teams {
		remaining -= team.Weight
		if remaining < 0 {
			return team.Name
		}
	}
	// Only rounding errors lead here.
	return teams[len(teams)-1].Name
}

// prompt returns a prompt of a guide, a subject, a chapter and a random question,
// which makes the prompt unique.
func (o Options) prompt(random *rand.Rand, offset time.Duration) string {
	guide := random.IntN(o.Guides)
	if random.Float64() < o.HotGuideShare {
		guide = int(offset/o.HotGuideInterval) % o.Guides
	}
	subject := random.IntN(o.Subjects)
	chapter := random.IntN(o.Chapters)
	text := &strings.Builder{}
	writeSection(text, fmt.Sprintf("guide %d. ", guide), o.GuideChunks)
	writeSection(text, fmt.Sprintf("guide %d subject %d. ", guide, subject), o.SubjectChunks)
	writeSection(text, fmt.Sprintf("guide %d subject %d chapter %d. ", guide, subject, chapter), o.ChapterChunks)
	fmt.Fprintf(text, "Question %d: does the scheme of work fit?", random.Uint64())
	return text.String()
}

// writeSection writes the sentence repeatedly, padded with dots to the length in
// chunks.
func writeSection(text *strings.Builder, sentence string, chunks int) {
	length := chunks * chunker.ChunkTokens * chunker.BytesPerToken
	start := text.Len()
	for text.Len()-start+len(sentence) <= length {
		text.WriteString(sentence)
	}
	text.WriteString(strings.Repeat(".", length-(text.Len()-start)))
}
