package forwarder_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var crashSeeds = flag.Int("crash-seeds", 0, "number of seeds of TestPartsThatCrashEngines for each size of the cluster")

// fewCrashSeeds are the numbers of seeds without the flag.
var fewCrashSeeds = map[string]int{"7 instances": 2, "67 instances": 1}

// partLoad is a load of sound prompts and of prompts with bad parts. Each prompt begins with
// a part that all callers share, and one of its caller.
type partLoad struct {
	bad [][]string // bad are the shared parts of the prompts with bad parts.
}

const partCallers = 5

// partLoads have the bad parts at different positions, beside sound ones that are shared.
var partLoads = map[string]partLoad{
	"one part":          {bad: [][]string{{"guide", "caller-1", "bad-a"}}},
	"first part":        {bad: [][]string{{"bad-a", "caller-1", "subject-2"}}},
	"several parts":     {bad: [][]string{{"guide", "caller-1", "bad-a"}, {"guide", "bad-b", "subject-1"}, {"bad-c", "caller-3", "subject-3"}}},
	"fresh parts after": {bad: [][]string{{"guide", "caller-1", "bad-a", "fresh"}}},
	"sound until then":  {bad: [][]string{{"guide", "caller-1", "subject-0"}}},
}

// TestPartsThatCrashEngines sends prompts with parts that crash engines, no two alike, to all
// instances, while some are killed, suspended and cut off, engines end for other reasons and
// datagrams get lost. It verifies that such requests soon reach no engine any more, and that
// sound ones with the same other parts begin as before.
func TestPartsThatCrashEngines(t *testing.T) {
	t.Parallel()
	for name, scale := range scales {
		for load := range partLoads {
			for seed := range uint64(max(*crashSeeds, fewCrashSeeds[name])) {
				t.Run(fmt.Sprintf("%s, %s, seed %d", name, load, seed), func(t *testing.T) {
					if raceDetector && scale.instances > 7 {
						t.Skip("a state machine has no concurrency, and the race detector takes minutes at this size")
					}
					c := newClusterIn(t, seed, scale.instances, scale.domains)
					c.lossPercent = 2
					c.playPartLoad(partLoads[load], seed%2 == 1)
					c.requireLateBudget()
					c.requireSingleConfirmations()
					c.checkInvariants()
				})
			}
		}
	}
}

// playPartLoad plays eight seconds of sound prompts, and then both for 25 s.
func (c *cluster) playPartLoad(load partLoad, disturbed bool) {
	p := c.crashOnParts()
	const calm, whole = 8 * clock.Second, 33 * clock.Second
	start := c.now
	for _, shared := range load.bad {
		for _, part := range shared {
			if part == "subject-0" || part[:3] == "bad" {
				p.bad[part] = start.Add(calm)
			}
		}
	}
	var sound []string
	soundRate := 3.0 + float64(len(c.instances))/4
	for c.now < start.Add(whole) {
		for range c.arrivals(soundRate) {
			caller := c.random.IntN(partCallers)
			shared := []string{"guide", fmt.Sprint("caller-", caller), fmt.Sprint("subject-", 1+c.random.IntN(6))}
			sound = append(sound, c.sendParts(c.random.IntN(len(c.instances)), shared...))
		}
		if c.now < start.Add(calm) {
			if _, turns := p.bad["subject-0"]; turns && c.random.IntN(10) == 0 {
				c.sendParts(c.random.IntN(len(c.instances)), load.bad[0]...)
			}
		} else {
			for range c.arrivals(1) {
				shared := append([]string(nil), load.bad[c.random.IntN(len(load.bad))]...)
				for i, part := range shared {
					if part == "fresh" {
						shared[i] = fmt.Sprint("fresh-", len(c.requests))
					}
				}
				c.sendParts(c.random.IntN(len(c.instances)), shared...)
			}
		}
		c.run(50)
		if disturbed && c.now > start.Add(calm) && c.now < start.Add(whole-8*clock.Second) {
			c.oneIn(30, c.restartInstance)
			c.oneIn(60, c.pauseInstance)
			c.oneIn(80, c.cutNetwork)
			c.oneIn(60, c.killEngine)
		}
	}
	c.run(4 * clock.Second)
	c.requireSoundBegin(sound, start.Add(calm))
}

// arrivals draws the number of arrivals in 50 ms at a rate of so many in 100 ms.
func (c *cluster) arrivals(rate float64) int {
	count := int(rate / 2)
	if c.random.Float64() < rate/2-float64(count) {
		count++
	}
	return count
}

// requireSoundBegin verifies that the sound requests begin at their first attempt at least half
// as often as before, from twice the stable window after the last part's fifth crash.
func (c *cluster) requireSoundBegin(sound []string, badSince clock.Millis) {
	c.t.Helper()
	from := badSince
	for part := range c.parts.bad {
		for _, at := range c.parts.crashesUnder(part)[:min(5, len(c.parts.crashesUnder(part)))] {
			// A later crash is the latest one only for requests that are not sent any more.
			if at < c.now.Add(-4*stableWindow) {
				from = max(from, at)
			}
		}
	}
	from = from.Add(2 * stableWindow)
	var before, beganBefore, after, beganAfter, refused int
	for _, id := range sound {
		r := c.requests[id]
		if refusal, ok := r.finalAction.(forwarder.Refuse); ok && refusal.Reason == forwarder.ReasonCrashesServers {
			refused++
		}
		began := 0
		if c.parts.began[id] {
			began = 1
		}
		switch {
		case r.sentAt < badSince.Add(-clock.Second):
			before, beganBefore = before+1, beganBefore+began
		case r.sentAt > from && r.sentAt > c.disturbedUntil[r.instance].Add(stableWindow):
			after, beganAfter = after+1, beganAfter+began
		}
	}
	c.t.Logf("sound requests that began: %d of %d before, %d of %d after; %d of %d refused; %d engines ended, %.3f served", beganBefore, before, beganAfter, after, refused, len(sound), len(c.parts.crashes), c.servedFraction())
	require.Greater(c.t, after, 20)
	require.GreaterOrEqual(c.t, 2*float64(beganAfter)/float64(after), float64(beganBefore)/float64(before))
}
