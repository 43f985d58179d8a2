package meter

import (
	"strconv"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Bounds of the histograms: from a millisecond to two minutes, longer than any request
// may take, with two significant figures, and as many names as the code has, with room.
const (
	longestSpan = 2 * clock.Minute
	figures     = 2
	maxNames    = 32
)

// shown are the percentiles that are published.
var shown = []float64{50, 90, 99, 99.9}

// spans is histograms of spans in milliseconds, by name.
type spans struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

func newSpans() *spans {
	return &spans{byName: map[string]*hdrhistogram.Histogram{}}
}

// observe adds a span. Longer ones than the longest count as that, and names beyond the
// bound are left out.
func (s *spans) observe(name string, span clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	histogram, ok := s.byName[name]
	if !ok {
		if len(s.byName) >= maxNames {
			return
		}
		histogram = hdrhistogram.New(1, int64(longestSpan), figures)
		s.byName[name] = histogram
	}
	if err := histogram.RecordValue(int64(min(max(span, 0), longestSpan))); err != nil {
		// The value lies within the bounds; the library has no other error.
		panic("meter: " + err.Error())
	}
}

// read returns count, greatest value and percentiles of each histogram.
func (s *spans) read() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	read := make(map[string]map[string]int64, len(s.byName))
	for name, histogram := range s.byName {
		values := map[string]int64{"count": histogram.TotalCount(), "max": histogram.Max()}
		for _, percentile := range shown {
			values["p"+strconv.FormatFloat(percentile, 'f', -1, 64)] = histogram.ValueAtQuantile(percentile)
		}
		read[name] = values
	}
	return read
}
