package forwarder_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var outOfStepSeeds = flag.Int("out-of-step-seeds", 2, "number of seeds for each case of TestStreamsOfReleaseAtInstanceOutOfStep")

// outOfStep simulates servers of a new software version that join while one instance is out of
// step, and callers that resume their streams there.
type outOfStep struct {
	*cluster
	index int
	// began are the streams that wait to be resumed, and resumed the requests that do so.
	began, resumed []string
}

func newOutOfStep(t *testing.T, seed uint64, instances int, assigns bool) *outOfStep {
	o := &outOfStep{cluster: newStoreCluster(t, seed, instances)}
	if assigns {
		o.assignments = map[string]forwarder.Assignment{}
	}
	o.streamDuration = 2 * clock.Second
	o.index = o.random.IntN(instances)
	for _, s := range o.servers {
		s.entry.SoftwareVersion = "v1"
	}
	o.objects.sync(o.cluster)
	for i := range o.instances {
		o.settings[i].FirstStart = true
		o.startReading(i)
	}
	o.runFor(10 * clock.Second)
	return o
}

func (o *outOfStep) runFor(duration clock.Millis) {
	for end := o.now.Add(duration); o.now < end; {
		o.run(50)
		o.objects.sync(o.cluster)
	}
}

// release lists as many servers of the next version.
func (o *outOfStep) release() {
	for i := range 6 {
		id := fmt.Sprint("n", i)
		added := &server{entry: registry.Entry{ID: id, Service: "engines", Address: id, Domain: string(rune('a' + i%3)), Slots: 64, SoftwareVersion: "v2", StartedAt: 1}}
		added.entry = added.entry.WithWeightVersion(model, o.publishedVersion)
		o.servers[id] = added
	}
	o.objects.sync(o.cluster)
}

// begin begins a stream at any other instance, and breaks it after a moment.
func (o *outOfStep) begin() {
	i := (o.index + 1 + o.random.IntN(len(o.instances)-1)) % len(o.instances)
	id := fmt.Sprint("stream-", len(o.requests))
	// Without shared parts, no server is preferred.
	o.resumeStream(i, id, "stream", "", "")
	o.after(clock.Millis(50+o.random.IntN(200)), func() {
		if r := o.requests[id]; r.partDelivered && r.finalActions == 0 {
			o.step(i, forwarder.CallerDisconnected{Request: id})
			o.began = append(o.began, id)
		}
	})
}

// resumeAll resumes the streams that have broken at an instance.
func (o *outOfStep) resumeAll(i int, named bool) {
	for _, first := range o.began {
		id, resumed := "again-"+first, ""
		if named {
			resumed = first
		}
		o.resumeStreamOf(o.requests[first].softwareVersions, i, id, "stream", resumed, "1")
		o.resumed = append(o.resumed, id)
	}
	o.began = nil
}

// goOn returns the share of the resumed streams that went on.
func (o *outOfStep) goOn() share {
	all := share{all: len(o.resumed)}
	for _, id := range o.resumed {
		if o.requests[id].partDelivered {
			all.served++
		}
	}
	return all
}

func (o *outOfStep) requireUnmixed() {
	o.t.Helper()
	for _, id := range o.resumed {
		require.LessOrEqual(o.t, len(o.requests[id].softwareVersions), 1, "%s holds events of two versions\n%s", id, o.logOf(id))
	}
}

// play begins streams and resumes them at the instance for some time. It returns the share that went
// on, and the number of those of the newer version.
func (o *outOfStep) play(duration clock.Millis, named bool) (all share, newer int) {
	o.resumed = nil
	for end := o.now.Add(duration); o.now < end; {
		for range 3 {
			o.begin()
		}
		o.runFor(100)
		o.resumeAll(o.index, named)
	}
	o.runFor(outOfStepGap)
	o.requireUnmixed()
	for _, id := range o.resumed {
		if o.requests[id].softwareVersions["v2"] {
			newer++
		}
	}
	return o.goOn(), newer
}

// outOfStepGap is the time for which an instance is out of step.
const outOfStepGap = 3 * clock.Second

// TestStreamsOfReleaseAtInstanceOutOfStep guards against a stream that began at servers which an
// instance has not seen yet, and that is resumed there at servers of another software version. As
// long as there is one version, at least half of the streams go on.
func TestStreamsOfReleaseAtInstanceOutOfStep(t *testing.T) {
	t.Parallel()
	cutOff := func(o *outOfStep, isCutOff func(i int) bool) {
		until := o.now.Add(outOfStepGap)
		o.cut = func(from, to int) bool { return o.now < until && isCutOff(from) != isCutOff(to) }
		for i := range o.instances {
			if isCutOff(i) {
				o.storeCutOff[i] = true
				o.after(outOfStepGap, func() { o.storeCutOff[i] = false })
			}
		}
	}
	leaves := map[string]func(o *outOfStep){
		"cut off":           func(o *outOfStep) { cutOff(o, func(i int) bool { return i == o.index }) },
		"its domain is too": func(o *outOfStep) { cutOff(o, func(i int) bool { return i%o.domains == o.index%o.domains }) },
		"suspended":         func(o *outOfStep) { o.pausedUntil[o.index] = o.now.Add(outOfStepGap) },
		"its watch hangs":   func(o *outOfStep) { o.objects.clients[o.index].serversHangUntil = o.now.Add(outOfStepGap) },
		"the store is away": func(o *outOfStep) {
			o.storeCutOff[o.index] = true
			o.after(outOfStepGap, func() { o.storeCutOff[o.index] = false })
		},
	}
	for _, size := range []struct{ instances, seeds int }{{7, *outOfStepSeeds}, {67, 1}, {295, 1}} {
		for name, leave := range leaves {
			// The others run an earlier build after the calm time if earlier is set.
			for _, variant := range []struct{ assigns, named, earlier bool }{{assigns: true}, {}, {assigns: true, named: true}, {named: true}, {earlier: true}} {
				isUsual := name == "cut off" && variant.assigns || name == "suspended" && size.instances < 295
				if size.instances > 7 && (raceDetector || variant.named || variant.earlier || !isUsual) {
					continue
				}
				t.Run(fmt.Sprintf("%d instances, %s, assignments %t, named %t, earlier builds %t", size.instances, name, variant.assigns, variant.named, variant.earlier), func(t *testing.T) {
					t.Parallel()
					calm, resumed, newer := share{}, share{}, 0
					for seed := range uint64(size.seeds) {
						o := newOutOfStep(t, seed, size.instances, variant.assigns)
						before, _ := o.play(2*clock.Second, variant.named)
						o.earlierBuilds = map[int]earlierBuild{}
						for i := range o.instances {
							if variant.earlier && i != o.index {
								o.earlierBuilds[i] = earlierBuild{}
							}
						}
						leave(o)
						o.after(outOfStepGap+clock.Millis(o.random.IntN(1000)), func() { o.listAssignments(o.index) })
						o.release()
						after, atNewer := o.play(outOfStepGap+2*clock.Second, variant.named)
						calm.all, calm.served = calm.all+before.all, calm.served+before.served
						resumed.all, resumed.served, newer = resumed.all+after.all, resumed.served+after.served, newer+atNewer
					}
					t.Logf("before %+v, then %+v, %d at the newer version", calm, resumed, newer)
					require.GreaterOrEqual(t, calm.all, 20)
					require.Positive(t, newer)
					require.GreaterOrEqual(t, calm.fraction(), 0.5)
				})
			}
		}
	}
}

// TestUnnamedStreamNeedsEvidence verifies which evidence a stream needs that its caller does not name,
// while the instance has only seen servers of one software version.
func TestUnnamedStreamNeedsEvidence(t *testing.T) {
	const others = 4
	// see lets an instance list a server of another version.
	see := func(c *cluster, i int) {
		entry := c.servers["e0"].entry
		entry.ID, entry.SoftwareVersion = "n0", "v2"
		c.servers["n0"] = &server{entry: entry, down: true}
		c.step(i, forwarder.ServerChanged{Entry: entry})
	}
	silent := func(c *cluster, count int) {
		for i := range count {
			c.stopped[1+i] = true
		}
	}
	earlier := func(c *cluster, count int) {
		c.earlierBuilds = map[int]earlierBuild{}
		for i := range count {
			c.earlierBuilds[1+i] = earlierBuild{}
		}
	}
	for name, test := range map[string]struct {
		prepare func(c *cluster)
		// assigns reports whether the store has an assignment.
		assigns, goesOn bool
	}{
		"all agree":                 {func(*cluster) {}, false, true},
		"another lists two":         {func(c *cluster) { see(c, 2) }, false, false},
		"half are silent":           {func(c *cluster) { silent(c, others/2) }, false, true},
		"most are silent":           {func(c *cluster) { silent(c, others/2+1) }, false, false},
		"most, with an assignment":  {func(c *cluster) { silent(c, others/2+1) }, true, true},
		"the store does not answer": {func(c *cluster) { c.storeCutOff[0] = true }, true, false},
		"another replies late that it lists two": {func(c *cluster) {
			see(c, 3)
			c.pausedUntil[3] = c.now.Add(45)
		}, false, false},
		"another had two until now": {func(c *cluster) {
			see(c, 2)
			c.step(2, forwarder.ServerChanged{Entry: registry.Entry{ID: "n0"}, Removed: true})
		}, false, false},
		"another of an earlier build lists two": {func(c *cluster) { see(c, 2); earlier(c, others) }, false, false},
		"half are of an earlier build":          {func(c *cluster) { earlier(c, others/2) }, false, true},
		"most are of an earlier build":          {func(c *cluster) { earlier(c, others/2+1) }, false, false},
		"most are, with an assignment":          {func(c *cluster) { earlier(c, others/2+1) }, true, true},
		"the only version is new":               {func(c *cluster) { c.setSoftwareVersions("v2") }, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			c := newCluster(t, 1, 1+others)
			c.setSoftwareVersions("v1")
			if test.assigns {
				c.assignments = map[string]forwarder.Assignment{}
			}
			for i := range c.instances {
				c.startInstance(i)
			}
			c.run(3 * clock.Second)
			require.True(t, c.assignments["engines"].Record.Settled() || !test.assigns)
			test.prepare(c)
			r := c.resumeStream(0, "again", "stream", "", "1")
			c.run(500)
			require.Equal(t, test.goesOn, r.partDelivered, c.logOf("again"))
			if !test.goesOn {
				require.Equal(t, forwarder.ReasonUnknownOrigin, r.finalAction.(forwarder.Refuse).Reason)
				require.Zero(t, r.attempts)
			}
		})
	}
}

// TestUnnamedStreamLongAfterRelease guards against an assignment that lists streams which have ended
// long ago: no stream that is not named would go on until the next release.
func TestUnnamedStreamLongAfterRelease(t *testing.T) {
	c := newCluster(t, 1, 3)
	c.assignments = map[string]forwarder.Assignment{}
	c.streamDuration = clock.Second
	c.setSoftwareVersions("v1")
	c.run(3 * clock.Second)
	for i := range 12 {
		c.sendRequest(i%3, "stream")
	}
	c.run(100)
	c.setSoftwareVersions("v2")
	c.run(2 * clock.Second)
	record := c.assignments["engines"].Record
	require.True(t, record.Settled())
	_, sole := record.Sole()
	require.False(t, sole, "streams of the earlier version are listed")
	refused := c.resumeStream(0, "soon", "stream", "", "1")
	c.run(31 * clock.Second)
	require.False(t, refused.partDelivered)
	r := c.resumeStream(0, "later", "stream", "", "1")
	c.run(500)
	require.True(t, r.partDelivered, c.logOf("later"))
}
