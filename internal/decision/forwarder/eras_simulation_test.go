package forwarder_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originmessage"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/registry"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/tunnelverdict"
	"github.com/hyssopdoor/hyssopdoor/internal/runtime/objectcache"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// The seeds of the simulation, and the number of instances of the largest one.
var (
	eraSeeds     = flag.Int("eraSeeds", 3, "the number of random sequences with eras")
	eraFirstSeed = flag.Int("eraFirstSeed", 0, "the seed of the first one")
	eraInstances = flag.Int("eraInstances", 0, "the number of instances, instead of 7 and 67")
)

// newStoreCluster returns a cluster whose instances read from a store.
func newStoreCluster(t *testing.T, seed uint64, instances int) *cluster {
	c := &cluster{
		domains: 3, subjects: 7, traffic: map[int]traffic{}, objects: newObjectStore(), originMessages: map[originmessage.Kind]int{},
		tunnels: map[string]simulatedTunnel{}, verdicts: map[tunnelverdict.Verdict]int{},
		t: t, now: clock.Second, random: rand.New(rand.NewPCG(seed, 7)), stopped: map[int]bool{}, storeCutOff: map[int]bool{}, pausedUntil: map[int]clock.Millis{},
		servers: map[string]*server{}, requests: map[string]*request{}, publishedVersion: 1, publishedAt: map[int64]clock.Millis{1: 0}, faultPercents: map[forwarder.Outcome]int{},
		requestLines: map[string][]string{}, limitsReceived: map[callKey]clock.Millis{}, loadDuration: 320, cacheReads: map[string]int{}, faultRandom: rand.New(rand.NewPCG(seed, 11)),
	}
	for i := range 6 {
		engine := registry.Entry{ID: fmt.Sprint("e", i), Service: "engines", Address: fmt.Sprint("e", i), Domain: string(rune('a' + i%3)), Slots: 64, WeightVersions: map[string]int64{model: 1}, StartedAt: 1}
		c.servers[engine.ID] = &server{entry: engine}
	}
	for i := range instances {
		settings := instancesettings.Defaults()
		settings.Name, settings.IP, settings.Domain = fmt.Sprint("edge-", i), fmt.Sprint("10.0.0.", i), string(rune('a'+i%3))
		settings.PeerAddress = settings.Name
		c.settings = append(c.settings, settings)
		c.instances = append(c.instances, nil)
		c.objects.clients = append(c.objects.clients, nil)
	}
	c.objects.sync(c)
	for i := range c.instances {
		c.startReading(i)
	}
	return c
}

// startReading starts an instance that has nothing.
func (c *cluster) startReading(i int) {
	c.stopped[i] = false
	c.instances[i] = forwarder.New(c.settings[i], fmt.Sprint("start-", i, "-", c.now), c.random.Uint64())
	c.objects.clients[i] = &storeClient{cluster: c, index: i, instance: c.instances[i], cache: objectcache.New()}
	c.step(i, forwarder.Tick{})
	c.objects.clients[i].register(clock.Millis(1 + c.random.IntN(500)))
}

// observer verifies, while the cluster runs, what must always hold.
type observer struct {
	cluster *cluster
	// versions has the latest version of the desired state of each instance.
	versions map[*forwarder.Forwarder]int64
}

// run advances the time.
func (o *observer) run(duration clock.Millis) {
	const step = 50 * clock.Millisecond
	for end := o.cluster.now.Add(duration); o.cluster.now < end; {
		o.cluster.run(step)
		o.cluster.objects.sync(o.cluster)
		o.requireSafe()
	}
}

// requireSafe verifies that no desired state is replaced by an older one, and that an
// instance which lacks a state for longer than a withdrawn key may be used knows that its
// own may be old.
func (o *observer) requireSafe() {
	c := o.cluster
	for i, instance := range c.instances {
		if c.stopped[i] || c.now < c.pausedUntil[i] {
			continue
		}
		status, bound := instance.StatusAt(c.now), c.settings[i].Bounds.KeyWithdrawal
		require.GreaterOrEqual(c.t, status.StateVersion, o.versions[instance], "%s at %s goes back to an older state", c.settings[i].Name, c.now)
		o.versions[instance] = status.StateVersion
		missed := c.objects.acceptedAt[status.StateVersion+1]
		if missed > 0 && c.now.Since(missed) > bound {
			require.Greater(c.t, status.StateAge, bound*9/10, "%s at %s uses state %d", c.settings[i].Name, c.now, status.StateVersion)
		}
	}
}

// requireFencedOrders verifies that the fences of an engine's orders never go down, that no
// two holders have one, and that the orders of two holders are apart. It returns the number
// of fences.
func (o *observer) requireFencedOrders() int {
	t, all := o.cluster.t, o.cluster.objects.orders
	holders, fences := map[int64]string{}, map[string]int64{}
	for i, next := range all {
		order := next.order
		require.GreaterOrEqual(t, order.Fence, fences[order.Server], "%v", next)
		fences[order.Server] = order.Fence
		if holder, ok := holders[order.Fence]; ok {
			require.Equal(t, holder, order.Holder, "two holders with one fence")
		}
		holders[order.Fence] = order.Holder
		if i > 0 && all[i-1].order.Holder != order.Holder {
			require.GreaterOrEqual(t, next.at.Since(all[i-1].at), o.cluster.settings[0].Bounds.MinOrderHandover, "%v and %v", all[i-1], next)
		}
	}
	return len(holders)
}

// requireCurrent verifies that all instances have what the store has.
func (o *observer) requireCurrent() {
	c := o.cluster
	require.Len(c.t, c.objects.kinds[kindMembers], len(c.instances), "all instances are listed")
	for i, instance := range c.instances {
		status := instance.StatusAt(c.now)
		require.Equal(c.t, c.objects.stateVersion, status.StateVersion, c.settings[i].Name)
		require.Equal(c.t, c.objects.position.Era, status.StoreEra, c.settings[i].Name)
		require.Less(c.t, status.StateAge, c.settings[i].Bounds.ConfigApply, c.settings[i].Name)
		for _, kind := range watchedKinds {
			snapshot, ok := c.objects.clients[i].cache.Snapshot(kind, storeposition.Position{})
			require.True(c.t, ok)
			require.Equal(c.t, c.objects.list(kind).Items, snapshot.Items, "%s of %s", kind, c.settings[i].Name)
		}
	}
	for id, server := range c.servers {
		require.Equal(c.t, c.publishedVersion, server.entry.WeightVersions[model], id)
	}
}

// comeBackOlder makes the store be away and come back from an older copy.
func (o *observer) comeBackOlder() {
	c := o.cluster
	copiedAt := c.now.Add(-clock.Millis(c.random.IntN(6000)))
	c.objects.down = true
	if c.random.IntN(3) > 0 {
		o.run(clock.Millis(50 + c.random.IntN(2500)))
	}
	c.objects.goBack(copiedAt)
	c.objects.down = false
	c.objects.rewriteAt = c.now.Add(clock.Millis(c.random.IntN(800)))
}

// disturb does one thing at random.
func (o *observer) disturb() {
	c := o.cluster
	i := c.random.IntN(len(c.instances))
	switch c.random.IntN(11) {
	case 0, 1, 2:
		o.comeBackOlder()
	case 3, 4:
		c.objects.stateVersion++
	case 5:
		c.publishedVersion++
	case 6:
		c.pausedUntil[i] = c.now.Add(clock.Millis(c.random.IntN(5000)))
	case 7:
		c.storeCutOff[i] = !c.storeCutOff[i]
	case 8:
		c.stopped[i] = true
		c.after(clock.Millis(300+c.random.IntN(2000)), func() { c.startReading(i) })
	case 9:
		// The instances that watch the store are cut off from it.
		for i, instance := range c.instances {
			c.storeCutOff[i] = c.storeCutOff[i] || instance.StatusAt(c.now).WatchesStore
		}
	case 10:
		other := c.random.IntN(3)
		c.cut = func(from, to int) bool { return (from%3 == other) != (to%3 == other) }
		c.after(clock.Millis(500+c.random.IntN(3000)), func() { c.cut = nil })
	}
}

// TestErasBesideOtherFaults runs random sequences of stores that come back older, new states
// and weights, pauses, restarts and cuts.
func TestErasBesideOtherFaults(t *testing.T) {
	t.Parallel()
	sizes := []int{7, 67}
	if *eraInstances > 0 {
		sizes = []int{*eraInstances}
	}
	for _, instances := range sizes {
		seeds := *eraSeeds
		if instances > 7 && *eraInstances == 0 {
			seeds = (seeds + 2) / 3
		}
		for n := range seeds {
			seed := uint64(*eraFirstSeed + n)
			t.Run(fmt.Sprint(instances, " instances, seed ", seed), func(t *testing.T) {
				c := newStoreCluster(t, seed, instances)
				o := &observer{cluster: c, versions: map[*forwarder.Forwarder]int64{}}
				o.run(8 * clock.Second)
				o.requireCurrent()
				for c.now < 60*clock.Second {
					o.disturb()
					o.run(clock.Millis(100 + c.random.IntN(2500)))
				}
				clear(c.storeCutOff)
				o.run(16 * clock.Second)
				o.requireCurrent()
				fences := o.requireFencedOrders()
				t.Logf("era %d, state %d, weights %d, %d orders under %d fences", c.objects.position.Era, c.objects.stateVersion, c.publishedVersion, len(c.objects.orders), fences)
			})
		}
	}
}

// TestCallsAfterAnEraChange verifies that the number of calls to the store after its return
// does not grow with the number of instances.
func TestCallsAfterAnEraChange(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{7, 67, 295} {
		t.Run(fmt.Sprint(instances, " instances"), func(t *testing.T) {
			c := newStoreCluster(t, 1, instances)
			o := &observer{cluster: c, versions: map[*forwarder.Forwarder]int64{}}
			o.run(12 * clock.Second)
			before := c.objects.callsSince(c.now.Add(-2 * clock.Second))
			c.objects.goBack(c.now.Add(-2 * clock.Second))
			start := c.now
			o.run(2 * clock.Second)
			after := c.objects.callsSince(start)
			t.Logf("calls in 2 s: %d before, %d after", before, after)
			require.LessOrEqual(t, after, before+20)
			o.run(4 * clock.Second)
			o.requireCurrent()
		})
	}
}
