package meter

import (
	"strconv"
	"sync"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Limits of the histograms. They count durations from a millisecond to two minutes, which is
// longer than any request may take, with two significant figures. maxHistograms is larger
// than the number of names that the code uses.
const (
	maxDuration        = 2 * clock.Minute
	significantFigures = 2
	maxHistograms      = 32
)

// publishedPercentiles are the percentiles in the published metrics.
var publishedPercentiles = []float64{50, 90, 99, 99.9}

// histograms has histograms of durations in milliseconds by name.
type histograms struct {
	mu     sync.Mutex
	byName map[string]*hdrhistogram.Histogram
}

func newHistograms() *histograms {
	return &histograms{byName: map[string]*hdrhistogram.Histogram{}}
}

// observe adds a duration. Durations above maxDuration count as maxDuration. Once there are
// maxHistograms names, further names are ignored.
func (h *histograms) observe(name string, duration clock.Millis) {
	h.mu.Lock()
	defer h.mu.Unlock()
	histogram, ok := h.byName[name]
	if !ok {
		if len(h.byName) >= maxHistograms {
			return
		}
		histogram = hdrhistogram.New(1, int64(maxDuration), significantFigures)
		h.byName[name] = histogram
	}
	if err := histogram.RecordValue(int64(min(max(duration, 0), maxDuration))); err != nil {
		// The library's only error is a value out of range, and the value is in range.
		panic("meter: " + err.Error())
	}
}

// snapshot returns the count, the maximum and the percentiles of each histogram.
func (h *histograms) snapshot() any {
	h.mu.Lock()
	defer h.mu.Unlock()
	result := make(map[string]map[string]int64, len(h.byName))
	for name, histogram := range h.byName {
		values := map[string]int64{"count": histogram.TotalCount(), "max": histogram.Max()}
		for _, percentile := range publishedPercentiles {
			values["p"+strconv.FormatFloat(percentile, 'f', -1, 64)] = histogram.ValueAtQuantile(percentile)
		}
		result[name] = values
	}
	return result
}
