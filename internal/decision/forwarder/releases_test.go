package forwarder_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originmessage"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/scheduler"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/secret"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var releaseSeeds = flag.Int("release-seeds", 0, "number of seeds for each case of TestReleases; 0 for the usual ones")

// stableTime is the time without faults after which an instance must resume streams.
const stableTime = 2 * clock.Second

// release simulates releases of the engines' software and the callers of streams, who come
// back at any instance when their stream breaks.
type release struct {
	*cluster
	versions []string
	// nextEngine numbers the engines that are added.
	nextEngine int
	// lags are the parts of the longest delay after which instances learn of a change.
	lags    []float64
	streams []*callerStream
	// unstableAt is the time at which an instance was last down, cutUntil the time until
	// which a failure domain is cut off.
	unstableAt  map[int]clock.Millis
	cutDomain   int
	cutUntil    clock.Millis
	lossPercent int
	// callersStop reports whether callers come back only within the route's timeout, counted from
	// their first request.
	callersStop bool
	// begun and resumed count the requests that instances had to serve.
	begun, resumed share
}

// share is a number of requests, and of those that received an event or a whole response.
type share struct{ all, served int }

func (s share) fraction() float64 { return float64(s.served) / float64(max(1, s.all)) }

// callerStream is a caller's stream, over all of its requests.
type callerStream struct {
	first, current string
	tries          int
	firstAt        clock.Millis
	began          bool
	done           bool
	// counted reports whether the current request is part of a share.
	counted      bool
	disconnectAt clock.Millis
	nextTryAt    clock.Millis
	versions     map[string]bool
}

func newRelease(t *testing.T, seed uint64, instances, domains int, versions []string) *release {
	r := &release{cluster: newClusterIn(t, seed, instances, domains), versions: versions, unstableAt: map[int]clock.Millis{}, lossPercent: 3}
	r.streamDuration = 900
	for range instances {
		r.lags = append(r.lags, r.random.Float64())
	}
	r.setSoftwareVersions(versions[0])
	r.cut = func(from, to int) bool {
		cutOff := r.now < r.cutUntil && (from%r.domains == r.cutDomain) != (to%r.domains == r.cutDomain)
		return cutOff || r.faultRandom.IntN(100) < r.lossPercent
	}
	return r
}

// replaceEngine drains an engine of the oldest version that is not draining yet, and adds
// one of the next version. Instances learn of the new one up to a second later.
func (r *release) replaceEngine() {
	for _, version := range r.versions[:len(r.versions)-1] {
		for _, id := range r.serverIDs() {
			s := r.servers[id]
			if s.entry.Service == "engines" && s.drainingSince == 0 && !s.down && s.entry.SoftwareVersion == version {
				r.replace(s, r.versions[1+indexOf(r.versions, version)])
				return
			}
		}
	}
}

func indexOf(versions []string, wanted string) int {
	for i, version := range versions {
		if version == wanted {
			return i
		}
	}
	return -1
}

func (r *release) replace(old *server, version string) {
	r.nextEngine++
	id := fmt.Sprint("n", r.nextEngine)
	added := &server{entry: registry.Entry{ID: id, Service: "engines", Address: id, Domain: old.entry.Domain, Slots: 64, SoftwareVersion: version, StartedAt: 1, Revision: 1}}
	added.entry = added.entry.WithWeightVersion(model, r.publishedVersion)
	r.servers[id] = added
	r.notify(added, false, 1000)
	old.drainingSince = r.now
	old.entry.Draining = true
	old.entry.Revision++
	r.notify(old, false, 150)
	r.after(3*clock.Second, func() {
		old.down = true
		r.notify(old, true, 150)
	})
}

// notify tells all instances of a changed entry, each after its part of the longest delay.
func (r *release) notify(s *server, removed bool, maxDelay clock.Millis) {
	entry := s.entry
	for i := range r.instances {
		instance := r.instances[i]
		r.after(clock.Millis(float64(maxDelay)*r.lags[i]), func() {
			if r.instances[i] == instance {
				r.step(i, forwarder.ServerChanged{Entry: entry, Removed: removed})
			}
		})
	}
}

// serving returns the number of engines of the version that accept requests.
func (r *release) serving(version string) int {
	count := 0
	for _, s := range r.servers {
		if s.entry.Service == "engines" && s.entry.SoftwareVersion == version && s.drainingSince == 0 && !s.down {
			count++
		}
	}
	return count
}

// isStable reports whether the instance has been running without faults.
func (r *release) isStable(i int) bool {
	return !r.stopped[i] && r.now.Since(r.unstableAt[i]) >= stableTime && r.now.Since(r.cutUntil) >= stableTime
}

// runningInstance returns a random instance that is running.
func (r *release) runningInstance() int {
	for {
		if i := r.random.IntN(len(r.instances)); !r.stopped[i] {
			return i
		}
	}
}

// send sends a stream's request to a random instance.
func (r *release) send(stream *callerStream) {
	i := r.runningInstance()
	stream.tries++
	id := fmt.Sprint("stream-", len(r.requests))
	arrived := forwarder.Request{
		ID: id, Host: host, Method: "POST", Path: "/stream/x", Key: secret.New(goodKey), CallerTimeout: 2500, Fingerprint: id,
		Model: model, PromptTokens: 100, OutputTokens: 20, PromptParts: []scheduler.Part{{ID: "a", Tokens: 40}, {ID: id, Tokens: 60}},
	}
	if r.callersStop {
		arrived.CallerTimeout = routeTimeout
		if stream.tries > 1 {
			arrived.CallerTimeout -= r.now.Since(stream.firstAt)
		}
	}
	if stream.tries == 1 {
		stream.firstAt = r.now
	}
	stream.counted = r.isStable(i)
	if stream.began {
		arrived.ResumedRequest, arrived.LastEventID = stream.first, "1"
		for version := range stream.versions {
			stream.counted = stream.counted && r.serving(version) >= 2
		}
	} else {
		stream.first = id
	}
	stream.current = id
	r.requests[id] = &request{instance: i, sentAt: r.now, kind: "stream", parts: arrived.PromptParts, softwareVersions: stream.versions}
	r.step(i, forwarder.RequestArrived{Request: arrived})
}

// advance lets the caller of a stream react to what it has received.
func (r *release) advance(stream *callerStream) {
	current := r.requests[stream.current]
	if stream.nextTryAt > 0 {
		if r.now >= stream.nextTryAt {
			stream.nextTryAt = 0
			r.send(stream)
		}
		return
	}
	if current.finalActions == 0 {
		if current.partDelivered && stream.disconnectAt > 0 && r.now >= stream.disconnectAt {
			stream.disconnectAt = 0
			r.step(current.instance, forwarder.CallerDisconnected{Request: stream.current})
		}
		return
	}
	served := false
	delay := clock.Millis(20 + r.random.IntN(200))
	switch final := current.finalAction.(type) {
	case forwarder.ForwardResponse:
		served = true
	case forwarder.Refuse:
		delay = min(final.RetryAfter, 800)
	}
	r.count(stream, served || current.partDelivered)
	stream.began = stream.began || current.partDelivered
	if served || !stream.began || stream.tries >= 5 {
		stream.done = true
		return
	}
	stream.nextTryAt = r.now.Add(delay)
	if r.callersStop && stream.nextTryAt.Since(stream.firstAt) >= routeTimeout {
		stream.done = true
	}
}

// count adds the current request of the stream to its share. One whose instance was killed
// before it received an event is left out.
func (r *release) count(stream *callerStream, served bool) {
	current := r.requests[stream.current]
	if _, dropped := current.finalAction.(forwarder.DropRequest); !stream.counted || (dropped && !served) {
		return
	}
	counted := &r.begun
	if stream.began {
		counted = &r.resumed
	}
	counted.all++
	if served {
		counted.served++
	}
}

// play sends two streams a second to each instance and injects faults, then waits for the
// streams that are left.
func (r *release) play(duration clock.Millis, inject func(r *release)) {
	const step = 20 * clock.Millisecond
	due, nextFault := 0.0, r.now
	var active []*callerStream
	for end := r.now.Add(duration); r.now < end || (len(active) > 0 && r.now < end.Add(2*clock.Second)); {
		if r.now < end {
			for due += 2 * float64(len(r.instances)) * float64(step) / 1000; due >= 1; due-- {
				stream := &callerStream{versions: map[string]bool{}}
				if r.random.IntN(4) == 0 {
					stream.disconnectAt = r.now.Add(clock.Millis(50 + r.random.IntN(700)))
				}
				r.send(stream)
				r.streams, active = append(r.streams, stream), append(active, stream)
			}
			if r.now >= nextFault {
				nextFault = r.now.Add(300)
				inject(r)
			}
		}
		r.run(step)
		for i := range r.instances {
			if r.stopped[i] {
				r.unstableAt[i] = r.now
			}
		}
		var remaining []*callerStream
		for _, stream := range active {
			if r.advance(stream); !stream.done {
				remaining = append(remaining, stream)
			}
		}
		active = remaining
	}
}

// TestReleases runs releases of the engines' software while instances are killed, failure
// domains are cut off and datagrams are lost. No stream may hold events of two versions,
// over all of its caller's requests, and while two engines of its version serve, at least
// half as many streams must go on as new ones begin.
func TestReleases(t *testing.T) {
	t.Parallel()
	replace := func(r *release) {
		for range max(1, len(r.instances)/20) {
			r.replaceEngine()
		}
	}
	cutOff := func(r *release) {
		if r.now.Since(r.cutUntil) >= 3*clock.Second {
			r.cutDomain, r.cutUntil = r.random.IntN(r.domains), r.now.Add(clock.Second)
		}
	}
	for name, test := range map[string]struct {
		instances, domains int
		duration           clock.Millis
		seeds              int
		versions           []string
		inject             func(r *release)
	}{
		"two versions, 7 instances": {7, 3, 10 * clock.Second, 3, []string{"v1", "v2"}, func(r *release) { r.oneIn(2, func() { replace(r) }) }},
		"three versions and kills, 7 instances": {7, 3, 12 * clock.Second, 3, []string{"v1", "v2", "v3"}, func(r *release) {
			r.oneIn(2, func() { replace(r) })
			r.oneIn(4, r.restartInstance)
		}},
		"kills and cuts, 7 instances": {7, 3, 12 * clock.Second, 3, []string{"v1", "v2"}, func(r *release) {
			r.oneIn(2, func() { replace(r) })
			r.oneIn(5, r.restartInstance)
			cutOff(r)
		}},
		"three versions and kills, 67 instances": {67, 3, 6 * clock.Second, 1, []string{"v1", "v2", "v3"}, func(r *release) {
			replace(r)
			r.restartInstance()
		}},
		"kills and cuts, 67 instances": {67, 3, 6 * clock.Second, 1, []string{"v1", "v2"}, func(r *release) {
			replace(r)
			r.restartInstance()
			cutOff(r)
		}},
		"kills, 295 instances": {295, 5, 2 * clock.Second, 1, []string{"v1", "v2", "v3"}, func(r *release) {
			replace(r)
			r.restartInstance()
			r.restartInstance()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			if raceDetector && test.instances > 7 {
				t.Skip("a state machine has no concurrency, and the race detector takes minutes at this size")
			}
			seeds := test.seeds
			if *releaseSeeds > 0 {
				seeds = *releaseSeeds
			}
			begun, resumed := share{}, share{}
			for seed := range uint64(seeds) {
				r := newRelease(t, seed, test.instances, test.domains, test.versions)
				r.faultPercents[forwarder.OutcomeInterrupted] = 5
				clear(r.originMessages)
				r.play(test.duration, test.inject)
				r.requireUnmixed(seed)
				began := 0
				for _, stream := range r.streams {
					if stream.began || len(stream.versions) > 0 {
						began++
					}
				}
				t.Logf("seed %d: %d streams, begun %+v, resumed %+v, messages %v", seed, began, r.begun, r.resumed, r.originMessages)
				// A stream that is resumed tells its keepers again.
				require.LessOrEqual(t, r.originMessages[originmessage.Began], 3*(began+r.resumptions()), "seed %d", seed)
				begun.all, begun.served = begun.all+r.begun.all, begun.served+r.begun.served
				resumed.all, resumed.served = resumed.all+r.resumed.all, resumed.served+r.resumed.served
			}
			require.GreaterOrEqual(t, resumed.all, 12, "streams are resumed")
			require.GreaterOrEqual(t, resumed.fraction(), begun.fraction()/2, "begun %+v, resumed %+v", begun, resumed)
		})
	}
}

// requireUnmixed verifies that no stream holds events of two versions.
func (r *release) requireUnmixed(seed uint64) {
	r.t.Helper()
	for _, stream := range r.streams {
		if len(stream.versions) > 1 {
			require.Fail(r.t, "mixed versions", "seed %d: %s holds events of %v\n%s", seed, stream.first, stream.versions, r.logOf(stream.current))
		}
	}
}

// resumptions returns the number of requests that resumed a stream.
func (r *release) resumptions() int {
	count := 0
	for _, stream := range r.streams {
		count += stream.tries - 1
	}
	return count
}
