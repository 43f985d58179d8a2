// Package experimenter runs a workload against a fleet with stand-in engines on
// loopback, once for each policy and seed, and measures what the users measure.
//
// Arrivals are open-loop: a request's time to the first token counts from the
// instant at which it was due, so a slow system can't slow its callers down.
//
// # Usage
//
//	options, err := experimenter.Parse("calm.ini", data)
//	results, err := experimenter.Run(ctx, options, progress)
package experimenter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
	"github.com/tmaxmax/go-sse"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/chooser"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/workload"
)

// Bounds of the recorded times, in microseconds, and their digits.
const (
	longestMicros = 60_000_000
	digits        = 3
)

// Result is what one run measured. Times are to the first token.
type Result struct {
	Policy chooser.Policy `json:"policy"`
	Seed   uint64         `json:"seed"`
	// Requests were sent; Answered came whole, Refused were for want of tokens.
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// WronglyRefused are the refused ones of teams that stayed inside their rate
	// over the whole run.
	WronglyRefused int `json:"wronglyRefused"`

	P50Millis float64 `json:"p50Millis"`
	P95Millis float64 `json:"p95Millis"`
	P99Millis float64 `json:"p99Millis"`
	// HitRate is the part of the prompt tokens that engines had cached.
	HitRate float64 `json:"hitRate"`
	// Wasted is the part of the prompt tokens that were computed though an engine
	// had computed them before.
	Wasted float64 `json:"wasted"`
	// WorstToBest is the worst-served team's p95 over the best-served's.
	WorstToBest float64 `json:"worstToBest"`
}

// Run runs the experiment and calls progress after each run.
func Run(ctx context.Context, options Options, progress func(Result)) ([]Result, error) {
	var results []Result
	for _, seed := range options.Seeds {
		requests := workload.New(options.Workload, seed)
		for _, policy := range options.Policies {
			result, err := runOnce(ctx, options, policy, seed, requests)
			if err != nil {
				return results, err
			}
			results = append(results, result)
			progress(result)
		}
	}
	return results, nil
}

// run is one run under way.
type run struct {
	fleet  *fleet
	began  time.Time
	mu     sync.Mutex
	result Result
	all    *hdrhistogram.Histogram
	teams  map[string]*hdrhistogram.Histogram
	// refused counts the requests refused for want of tokens, by team.
	refused map[string]int
}

func runOnce(ctx context.Context, options Options, policy chooser.Policy, seed uint64, requests []workload.Request) (Result, error) {
	started, err := startFleet(ctx, options, policy)
	if err != nil {
		return Result{}, err
	}
	defer started.close()
	r := &run{
		fleet:  started,
		began:  time.Now(),
		result: Result{Policy: policy, Seed: seed, Requests: len(requests)},
		all:    hdrhistogram.New(1, longestMicros, digits),
		teams:  map[string]*hdrhistogram.Histogram{},

		refused: map[string]int{},
	}
	var waiting sync.WaitGroup
	for i, request := range requests {
		select {
		case <-time.After(time.Until(r.began.Add(request.At))):
		case <-ctx.Done():
			return Result{}, errors.Wrap(ctx.Err(), "experimenter.Run")
		}
		waiting.Go(func() { r.send(ctx, i, request) })
	}
	waiting.Wait()
	r.finish(options, requests)
	return r.result, nil
}

// send sends a request to the instances in turn.
func (r *run) send(ctx context.Context, number int, request workload.Request) {
	address := r.fleet.instances[number%len(r.fleet.instances)].Addresses().Callers
	body, err := json.Marshal(map[string]any{"model": model, "prompt": request.Prompt, "max_tokens": request.MaxTokens, "stream": true})
	if err != nil {
		panic("experimenter.send: " + err.Error())
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+completer.KindText.Path(), bytes.NewReader(body))
	if err != nil {
		panic("experimenter.send: " + err.Error())
	}
	call.Header.Set("Authorization", "Bearer "+r.fleet.keys[request.Team])
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		r.note(request, 0, 0)
		return
	}
	defer response.Body.Close()
	first := time.Duration(0)
	whole := false
	if response.StatusCode == http.StatusOK {
		first, whole = r.read(response.Body, request)
	}
	status := response.StatusCode
	if status == http.StatusOK && !whole {
		status = 0
	}
	r.note(request, status, first)
}

// read reads a stream. It returns the time to the first token, from when the
// request was due, and whether the end was marked.
func (r *run) read(body io.Reader, request workload.Request) (first time.Duration, whole bool) {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return first, false
		}
		if first == 0 {
			first = time.Since(r.began) - request.At
		}
		if event.Data == completer.DoneData {
			return first, true
		}
	}
	return first, false
}

func (r *run) note(request workload.Request, status int, first time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch status {
	case http.StatusOK:
		r.result.Answered++
	case http.StatusTooManyRequests:
		r.result.Refused++
		r.refused[request.Team]++
		return
	default:
		r.result.Failed++
		return
	}
	team, ok := r.teams[request.Team]
	if !ok {
		team = hdrhistogram.New(1, longestMicros, digits)
		r.teams[request.Team] = team
	}
	_ = r.all.RecordValue(first.Microseconds())
	_ = team.RecordValue(first.Microseconds())
}

// finish works out the result from the histograms and the engines' counts.
func (r *run) finish(options Options, requests []workload.Request) {
	r.result.WronglyRefused = r.wronglyRefused(options, requests)
	r.result.P50Millis = millis(r.all, 50)
	r.result.P95Millis = millis(r.all, 95)
	r.result.P99Millis = millis(r.all, 99)
	r.result.WorstToBest = r.worstToBest()
	var prompt, cached int64
	for _, server := range r.fleet.servers {
		counts := server.Counts()
		prompt += counts.PromptTokens
		cached += counts.CachedTokens
	}
	if prompt == 0 {
		return
	}
	r.result.HitRate = float64(cached) / float64(prompt)
	r.result.Wasted = max(0, float64(prompt-cached-distinctTokens(requests))/float64(prompt))
}

// wronglyRefused counts the refused requests of the teams whose demand, prompts
// and longest answers, stayed inside their rate.
func (r *run) wronglyRefused(options Options, requests []workload.Request) int {
	demand := map[string]int64{}
	for _, request := range requests {
		demand[request.Team] += chunker.EstimateTokens(len(request.Prompt)) + request.MaxTokens
	}
	given := int64(float64(options.TeamRate) * options.Workload.Duration.Seconds())
	total := 0
	for team, refused := range r.refused {
		if demand[team] <= given {
			total += refused
		}
	}
	return total
}

func millis(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtQuantile(percentile)) / 1000
}

func (r *run) worstToBest() float64 {
	var p95 []float64
	for _, team := range r.teams {
		p95 = append(p95, millis(team, 95))
	}
	if len(p95) == 0 || slices.Min(p95) == 0 {
		return 0
	}
	return slices.Max(p95) / slices.Min(p95)
}

// distinctTokens returns the tokens that must be computed at least once: each
// team's different chunks, and the ends of the prompts.
func distinctTokens(requests []workload.Request) int64 {
	seen := map[string]map[uint64]bool{}
	total := int64(0)
	for _, request := range requests {
		if seen[request.Team] == nil {
			seen[request.Team] = map[uint64]bool{}
		}
		chain := chunker.Chain(request.Prompt)
		total += chunker.EstimateTokens(len(request.Prompt)) - int64(len(chain)-1)*chunker.ChunkTokens
		for _, chunk := range chain[:len(chain)-1] {
			if !seen[request.Team][chunk] {
				seen[request.Team][chunk] = true
				total += chunker.ChunkTokens
			}
		}
	}
	return total
}
