// Package experimenter runs a workload against a cluster with simulated engines on
// loopback, once for each policy and seed, and measures latencies and cache hits.
//
// The load is open-loop: a request's time to the first token is measured from its
// scheduled send time, so a slow system does not lower the request rate.
//
// # Usage
//
//	options, err := experimenter.Parse("calm.ini", data)
//	results, err := experimenter.Run(ctx, options, onResult)
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

	"github.com/hyssopdoor/hyssopdoor/internal/decision/balancer"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/chunker"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/completer"
	"github.com/hyssopdoor/hyssopdoor/internal/workload"
)

// Maximum recorded latency, in microseconds, and precision of the histograms.
const (
	maxRecordedMicros = 60_000_000
	significantDigits = 3
)

// Result has the measurements of one run. Latencies are times to the first token.
type Result struct {
	Policy balancer.Policy `json:"policy"`
	Seed   uint64          `json:"seed"`
	// Requests counts the requests sent, Answered those with a complete response,
	// Refused those that exceeded their team's limit, and Failed all others.
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	// WronglyRefused counts the refused requests of teams whose demand over the whole
	// run stayed within their rate.
	WronglyRefused int `json:"wronglyRefused"`

	P50Millis float64 `json:"p50Millis"`
	P95Millis float64 `json:"p95Millis"`
	P99Millis float64 `json:"p99Millis"`
	// HitRate is the share of the prompt tokens that were in the engine's cache.
	HitRate float64 `json:"hitRate"`
	// Wasted is the share of the prompt tokens that were computed although an engine
	// had computed them before.
	Wasted float64 `json:"wasted"`
	// WorstToBest is the highest p95 of a team divided by the lowest.
	WorstToBest float64 `json:"worstToBest"`
}

// Run runs the experiment and calls onResult after each run.
func Run(ctx context.Context, options Options, onResult func(Result)) ([]Result, error) {
	var results []Result
	for _, seed := range options.Seeds {
		requests := workload.New(options.Workload, seed)
		for _, policy := range options.Policies {
			result, err := runOnce(ctx, options, policy, seed, requests)
			if err != nil {
				return results, err
			}
			results = append(results, result)
			onResult(result)
		}
	}
	return results, nil
}

// run is the state of one run.
type run struct {
	cluster   *cluster
	startedAt time.Time
	mu        sync.Mutex
	result    Result
	overall   *hdrhistogram.Histogram
	byTeam    map[string]*hdrhistogram.Histogram
	// refusedByTeam counts the requests that exceeded their team's limit.
	refusedByTeam map[string]int
}

func runOnce(ctx context.Context, options Options, policy balancer.Policy, seed uint64, requests []workload.Request) (Result, error) {
	testCluster, err := startCluster(ctx, options, policy)
	if err != nil {
		return Result{}, err
	}
	defer testCluster.close()
	r := &run{
		cluster:   testCluster,
		startedAt: time.Now(),
		result:    Result{Policy: policy, Seed: seed, Requests: len(requests)},
		overall:   hdrhistogram.New(1, maxRecordedMicros, significantDigits),
		byTeam:    map[string]*hdrhistogram.Histogram{},

		refusedByTeam: map[string]int{},
	}
	var pending sync.WaitGroup
	for i, request := range requests {
		select {
		case <-time.After(time.Until(r.startedAt.Add(request.Offset))):
		case <-ctx.Done():
			return Result{}, errors.Wrap(ctx.Err(), "experimenter.Run")
		}
		pending.Go(func() { r.send(ctx, i, request) })
	}
	pending.Wait()
	r.computeResult(options, requests)
	return r.result, nil
}

// send sends a request to the next instance, round-robin, and records its result.
func (r *run) send(ctx context.Context, number int, request workload.Request) {
	address := r.cluster.instances[number%len(r.cluster.instances)].Addresses().Callers
	body, err := json.Marshal(map[string]any{"model": model, "prompt": request.Prompt, "max_tokens": request.MaxTokens, "stream": true})
	if err != nil {
		panic("experimenter.send: " + err.Error())
	}
	call, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+completer.KindText.Path(), bytes.NewReader(body))
	if err != nil {
		panic("experimenter.send: " + err.Error())
	}
	call.Header.Set("Authorization", "Bearer "+r.cluster.keysByTeam[request.Team])
	response, err := http.DefaultClient.Do(call)
	if err != nil {
		r.record(request, 0, 0)
		return
	}
	defer response.Body.Close()
	timeToFirst := time.Duration(0)
	complete := false
	if response.StatusCode == http.StatusOK {
		timeToFirst, complete = r.readStream(response.Body, request)
	}
	status := response.StatusCode
	if status == http.StatusOK && !complete {
		status = 0
	}
	r.record(request, status, timeToFirst)
}

// readStream reads a stream of events. It returns the time from the request's
// scheduled send time to the first token, and whether the stream was complete.
func (r *run) readStream(body io.Reader, request workload.Request) (timeToFirst time.Duration, complete bool) {
	for event, err := range sse.Read(body, nil) {
		if err != nil {
			return timeToFirst, false
		}
		if timeToFirst == 0 {
			timeToFirst = time.Since(r.startedAt) - request.Offset
		}
		if event.Data == completer.DoneData {
			return timeToFirst, true
		}
	}
	return timeToFirst, false
}

// record counts the request by the status of its response, 0 if there was none or it
// was incomplete, and records the latency of a complete response.
func (r *run) record(request workload.Request, status int, timeToFirst time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch status {
	case http.StatusOK:
		r.result.Answered++
	case http.StatusTooManyRequests:
		r.result.Refused++
		r.refusedByTeam[request.Team]++
		return
	default:
		r.result.Failed++
		return
	}
	teamHistogram, ok := r.byTeam[request.Team]
	if !ok {
		teamHistogram = hdrhistogram.New(1, maxRecordedMicros, significantDigits)
		r.byTeam[request.Team] = teamHistogram
	}
	_ = r.overall.RecordValue(timeToFirst.Microseconds())
	_ = teamHistogram.RecordValue(timeToFirst.Microseconds())
}

// computeResult fills in the result from the histograms and the engines' counters.
func (r *run) computeResult(options Options, requests []workload.Request) {
	r.result.WronglyRefused = r.wronglyRefused(options, requests)
	r.result.P50Millis = percentileMillis(r.overall, 50)
	r.result.P95Millis = percentileMillis(r.overall, 95)
	r.result.P99Millis = percentileMillis(r.overall, 99)
	r.result.WorstToBest = r.worstToBest()
	var prompt, cached int64
	for _, server := range r.cluster.engineServers {
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

// wronglyRefused counts the refused requests of the teams whose demand, the prompts
// and the maximum response lengths, stayed within their rate.
func (r *run) wronglyRefused(options Options, requests []workload.Request) int {
	demand := map[string]int64{}
	for _, request := range requests {
		demand[request.Team] += chunker.EstimateTokens(len(request.Prompt)) + request.MaxTokens
	}
	allowance := int64(float64(options.TeamRate) * options.Workload.Duration.Seconds())
	total := 0
	for team, refused := range r.refusedByTeam {
		if demand[team] <= allowance {
			total += refused
		}
	}
	return total
}

// percentileMillis returns a percentile of the histogram in milliseconds.
func percentileMillis(histogram *hdrhistogram.Histogram, percentile float64) float64 {
	return float64(histogram.ValueAtQuantile(percentile)) / 1000
}

// worstToBest returns the highest p95 of a team divided by the lowest, or 0 if the
// lowest is 0 or unknown.
func (r *run) worstToBest() float64 {
	var p95 []float64
	for _, team := range r.byTeam {
		p95 = append(p95, percentileMillis(team, 95))
	}
	if len(p95) == 0 || slices.Min(p95) == 0 {
		return 0
	}
	return slices.Max(p95) / slices.Min(p95)
}

// distinctTokens returns the number of tokens that must be computed at least once:
// those of each team's distinct chunks and of the last chunk of every prompt.
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
