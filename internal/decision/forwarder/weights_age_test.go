package forwarder_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/instancesettings"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// storeWatcher returns the instance that watches the store.
func (c *cluster) storeWatcher() int {
	for i := range c.instances {
		if digest.ID(c.settings[i].Name) == c.instances[i].Replica(replicator.State).Source {
			return i
		}
	}
	return 0
}

// TestAgeOfWeightsCountsFromTheirPublication disturbs instances as weights are published that no engine
// loads in time. The cluster verifies that no engine begins a request on the old ones too late.
func TestAgeOfWeightsCountsFromTheirPublication(t *testing.T) {
	t.Parallel()
	cutOff := func(c *cluster, duration clock.Millis, instances ...int) {
		for _, i := range instances {
			c.storeCutOff[i] = true
			c.after(duration, func() { c.storeCutOff[i] = false })
		}
	}
	partition := func(c *cluster, duration clock.Millis, one int) {
		cutOff(c, duration, one)
		c.cut = func(from, to int) bool { return from == one || to == one }
		c.after(duration, func() { c.cut = nil })
	}
	all := []int{0, 1, 2, 3, 4, 5, 6}
	for name, test := range map[string]struct {
		disturb func(c *cluster)
		// usableFor is the least time for which the old weights must be used, if the disturbance allows it.
		usableFor clock.Millis
		// earlierBuilds is the number of instances of an earlier build.
		earlierBuilds int
	}{
		"undisturbed":                              {disturb: func(*cluster) {}, usableFor: 4 * clock.Second},
		"the watcher is killed":                    {disturb: func(c *cluster) { c.stopped[c.storeWatcher()] = true }, usableFor: 3 * clock.Second},
		"the watcher is cut off from the store":    {disturb: func(c *cluster) { cutOff(c, 4*clock.Second, c.storeWatcher()) }, usableFor: 3 * clock.Second},
		"the store is away for a while":            {disturb: func(c *cluster) { cutOff(c, 1500, all...) }, usableFor: 2 * clock.Second},
		"the watcher is suspended":                 {disturb: func(c *cluster) { c.pausedUntil[c.storeWatcher()] = c.now.Add(3 * clock.Second) }, usableFor: 3 * clock.Second},
		"the watcher is suspended for a moment":    {disturb: func(c *cluster) { c.pausedUntil[c.storeWatcher()] = c.now.Add(700) }, usableFor: 3 * clock.Second},
		"an instance without a watch is suspended": {disturb: func(c *cluster) { c.pausedUntil[(c.storeWatcher()+1)%7] = c.now.Add(3 * clock.Second) }, usableFor: 3 * clock.Second},
		"all instances are suspended": {disturb: func(c *cluster) {
			for _, i := range all {
				c.pausedUntil[i] = c.now.Add(3 * clock.Second)
			}
		}},
		"an instance without a watch is cut off":        {disturb: func(c *cluster) { partition(c, 3*clock.Second, (c.storeWatcher()+1)%7) }, usableFor: 3 * clock.Second},
		"the watcher is cut off from all":               {disturb: func(c *cluster) { partition(c, 3*clock.Second, c.storeWatcher()) }, usableFor: 3 * clock.Second},
		"the store comes back older, and all list anew": {disturb: func(c *cluster) { c.after(300, func() { c.objects.goBack(c.now.Add(-200)) }) }, usableFor: 2 * clock.Second},
		"the store comes back older while it is away":   {disturb: func(c *cluster) { cutOff(c, 1200, all...); c.after(300, func() { c.objects.goBack(c.now.Add(-2000)) }) }, usableFor: 2 * clock.Second},
		"undisturbed beside an earlier build":           {disturb: func(*cluster) {}, usableFor: 4 * clock.Second, earlierBuilds: 5},
		"the watcher is killed beside an earlier build": {disturb: func(c *cluster) { c.stopped[c.storeWatcher()] = true }, usableFor: 3 * clock.Second, earlierBuilds: 5},
		"the watcher pauses beside an earlier build":    {disturb: func(c *cluster) { c.pausedUntil[c.storeWatcher()] = c.now.Add(3 * clock.Second) }, usableFor: 3 * clock.Second, earlierBuilds: 5},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				c := newStoreCluster(t, seed, 7)
				c.loadDuration = 30 * clock.Second
				for i := range c.settings {
					c.settings[i].Bounds.RetryExtra = 1000
				}
				c.earlierBuilds = map[int]earlierBuild{}
				for i := range test.earlierBuilds {
					c.earlierBuilds[i] = earlierBuild{1: c.now}
				}
				o := &observer{cluster: c, versions: map[*forwarder.Forwarder]int64{}}
				o.run(8*clock.Second + clock.Millis(c.random.IntN(500)))
				o.requireCurrent()
				test.disturb(c)
				c.run(20)
				c.publishedVersion, c.publishedAt[2] = 2, c.now
				c.objects.sync(c)
				for c.now < c.publishedAt[2].Add(8*clock.Second) {
					for _, s := range c.servers {
						s.queue = clock.Millis(c.random.IntN(1500))
					}
					c.sendRequest(c.random.IntN(len(c.instances)), "stream")
					c.run(25)
					c.objects.sync(c)
				}
				last := clock.Millis(0)
				for _, r := range c.requests {
					if r.attempts > 0 {
						last = max(last, r.sentAt)
					}
				}
				require.GreaterOrEqual(t, last.Since(c.publishedAt[2]), test.usableFor, "seed %d: the old weights are in use", seed)
			}
		})
	}
}

// read returns the reading of a copy of the store that was confirmed at a time.
func read(kind replicator.Kind, confirmedAt clock.Millis, revision int64) forwarder.Event {
	return forwarder.ReplicaUpdated{Kind: kind, Copy: replicator.Copy{Era: 1, Revision: revision, Through: revision, ConfirmedAt: confirmedAt}}
}

// published returns the reading of a version of the weights that was published at a revision of the store.
func published(version, revision int64) forwarder.Event {
	return forwarder.WeightsPublished{Model: model, Version: version, Position: storeposition.Position{Era: 1, Revision: revision}}
}

// TestAgeOfWeightsOfOneInstance verifies how old weights count that one instance learns of at 20 s, and
// whether their publication counts as observed.
func TestAgeOfWeightsOfOneInstance(t *testing.T) {
	t.Parallel()
	const learnedAt = 20 * clock.Second
	for name, test := range map[string]struct {
		// confirmed is what was confirmed before 20 s, and learned what happens then.
		confirmed []forwarder.Event
		learned   []forwarder.Event
		stall     clock.Millis
		age       clock.Millis
		exact     bool
	}{
		"just published":               {confirmed: []forwarder.Event{read(replicator.Weights, 16_000, 70), read(replicator.State, 19_700, 71)}, learned: []forwarder.Event{published(2, 72)}, age: 300, exact: true},
		"the store was just confirmed": {confirmed: []forwarder.Event{read(replicator.Weights, 16_000, 70), read(replicator.State, 19_990, 71)}, learned: []forwarder.Event{published(2, 72)}, age: 10, exact: true},
		"an answer was held up":        {confirmed: []forwarder.Event{read(replicator.Weights, 16_000, 70), read(replicator.State, 19_260, 71)}, learned: []forwarder.Event{published(2, 72)}, age: 740, exact: true},
		"the first after a failure":    {confirmed: []forwarder.Event{read(replicator.Weights, 16_000, 70), read(replicator.State, 18_900, 71)}, learned: []forwarder.Event{published(2, 72)}, age: 1100},
		"a watcher that takes over":    {confirmed: []forwarder.Event{read(replicator.Weights, 15_500, 60), read(replicator.State, 18_800, 71)}, learned: []forwarder.Event{read(replicator.State, 19_900, 80), published(2, 72)}, age: 1200},
		"no answer for too long":       {confirmed: []forwarder.Event{read(replicator.Weights, 16_000, 70), read(replicator.State, 18_000, 71)}, learned: []forwarder.Event{published(2, 72)}, age: 2000},
		"a suspended instance":         {confirmed: []forwarder.Event{read(replicator.Weights, 16_000, 70), read(replicator.State, 19_600, 71)}, stall: 390, learned: []forwarder.Event{published(2, 72)}, age: 400, exact: true},
		"a revision of another era":    {confirmed: []forwarder.Event{read(replicator.Weights, 17_000, 70)}, learned: []forwarder.Event{forwarder.WeightsPublished{Model: model, Version: 2, Position: storeposition.Position{Era: 2, Revision: 9}}}, age: 3000},
		"no revision before it":        {confirmed: []forwarder.Event{read(replicator.Weights, 17_000, 70), read(replicator.State, 19_700, 73)}, learned: []forwarder.Event{published(2, 72)}, age: 3000},
		"a long gap":                   {confirmed: []forwarder.Event{read(replicator.Weights, 9_000, 70)}, learned: []forwarder.Event{published(2, 72)}, age: 6000},
		"the first list":               {learned: []forwarder.Event{published(2, 72)}, age: 6000},
		"a later change of known ones": {confirmed: []forwarder.Event{read(replicator.Weights, 17_000, 70), read(replicator.State, 18_700, 71)}, learned: []forwarder.Event{published(2, 72), read(replicator.State, 19_990, 73), published(2, 74)}, age: 1300},
	} {
		t.Run(name, func(t *testing.T) {
			settings := instancesettings.Defaults()
			settings.Name = "edge-0"
			instance := forwarder.New(settings, "start", 1)
			for now := clock.Second; now < learnedAt-test.stall; now += 50 {
				instance.Step(now, forwarder.Tick{})
			}
			instance.Step(learnedAt-max(5, test.stall-1), forwarder.Tick{})
			for _, event := range test.confirmed {
				instance.Step(learnedAt-max(5, test.stall-1), event)
			}
			for _, event := range test.learned {
				instance.Step(learnedAt, event)
			}
			ages, bounds := instance.WeightsAges(learnedAt)
			want := map[string]map[int64]clock.Millis{model: {2: test.age}}
			if test.exact {
				require.Equal(t, want, ages)
				require.Empty(t, bounds[model])
				return
			}
			require.Empty(t, ages[model], "a bound must not be sent as an age")
			if test.age < settings.Bounds.MaxWeightsAge {
				require.Equal(t, want, bounds)
			}
		})
	}
}

// TestAgesOfPeers verifies how old weights count that an instance learns of from a digest or a copy.
func TestAgesOfPeers(t *testing.T) {
	t.Parallel()
	type ages = map[string]map[int64]clock.Millis
	of := func(age clock.Millis) ages { return ages{model: {2: age}} }
	limit := instancesettings.Defaults().Bounds.MaxWeightsAge
	copied, later := published(2, 72), published(3, 75)
	confirmed := read(replicator.State, 18_500, 71)
	for name, test := range map[string]struct {
		// echoedAfter is the time from the digest that the peer has received to what is read, 0 for none.
		echoedAfter clock.Millis
		// read are digests and copies, and the times between them.
		read         []any
		age, longest clock.Millis
	}{
		"an age":                                 {echoedAfter: 20, read: []any{digest.Digest{WeightsAges: of(300)}}, age: 300},
		"a bound":                                {echoedAfter: 20, read: []any{digest.Digest{WeightsBounds: of(300)}}, longest: 320},
		"a bound without an echo":                {read: []any{digest.Digest{WeightsBounds: of(300)}}, longest: 3000},
		"an age without an echo":                 {read: []any{digest.Digest{WeightsAges: of(300)}}, longest: 3000},
		"an age that is read after a suspension": {echoedAfter: 600, read: []any{digest.Digest{WeightsAges: of(300)}}, longest: 900},
		"an age that comes late":                 {echoedAfter: 20, read: []any{clock.Millis(200), clock.Millis(200), clock.Millis(200), clock.Millis(200), clock.Millis(200), digest.Digest{WeightsAges: of(300)}}, longest: 1320},
		"an age that comes in time":              {echoedAfter: 20, read: []any{clock.Millis(200), clock.Millis(200), digest.Digest{WeightsAges: of(300)}}, age: 300},
		"an age read after a long suspension":    {echoedAfter: 2000, read: []any{digest.Digest{WeightsAges: of(300)}}, longest: 3000},
		"a copy":                                 {echoedAfter: 20, read: []any{copied}, longest: 3000},
		"a copy, then an age":                    {echoedAfter: 20, read: []any{copied, digest.Digest{WeightsAges: of(300)}}, age: 300},
		"a copy, then a bound":                   {echoedAfter: 20, read: []any{copied, digest.Digest{WeightsBounds: of(300)}}, longest: 320},
		"an age, then a copy and a bound":        {echoedAfter: 20, read: []any{digest.Digest{WeightsAges: of(300)}, copied, digest.Digest{WeightsBounds: of(200)}}, age: 300},
		"a bound after a later version":          {echoedAfter: 20, read: []any{later, digest.Digest{WeightsBounds: of(4000)}}, longest: 4020},
		"a later version, an unechoed bound":     {read: []any{later, digest.Digest{WeightsBounds: of(300)}}, longest: limit},
		"an age of an earlier build":             {echoedAfter: 20, read: []any{digest.Digest{EarlierAges: of(300)}, 500 * clock.Millisecond}, longest: 3500},
		"that while a copy may follow":           {echoedAfter: 20, read: []any{digest.Digest{EarlierAges: of(300)}, 499 * clock.Millisecond}},
		"that after a later version":             {echoedAfter: 20, read: []any{later, digest.Digest{EarlierAges: of(300)}}, longest: limit},
		"a copy, then an earlier build's age":    {echoedAfter: 20, read: []any{copied, digest.Digest{EarlierAges: of(300)}}, longest: 3000},
		"a copy, then an earlier build's bound":  {echoedAfter: 20, read: []any{copied, digest.Digest{EarlierBounds: of(300)}}, longest: 3000},
		"an earlier build's bound":               {echoedAfter: 20, read: []any{digest.Digest{EarlierBounds: of(300)}, 500 * clock.Millisecond}, longest: 3500},
		"an earlier build's age, then a copy":    {echoedAfter: 20, read: []any{confirmed, digest.Digest{EarlierAges: of(300)}, copied}, longest: 1520},
		"that with a copy that comes late":       {echoedAfter: 20, read: []any{confirmed, digest.Digest{EarlierAges: of(300)}, 600 * clock.Millisecond, copied}, longest: 2120},
		"that and a later change":                {echoedAfter: 20, read: []any{confirmed, digest.Digest{EarlierAges: of(300)}, copied, read(replicator.State, 20_000, 73), published(2, 74)}, longest: 1520},
		"a copy, then a bound without an echo":   {read: []any{copied, digest.Digest{WeightsBounds: of(300)}}, longest: 3000},
	} {
		t.Run(name, func(t *testing.T) {
			settings := instancesettings.Defaults()
			settings.Name, settings.Domain = "edge-0", "a"
			instance, now := forwarder.New(settings, "start", 1), 20*clock.Second
			peer := digest.Digest{Name: "edge-1", Domain: "a", Address: "edge-1", Incarnation: 7, Scope: digest.Subtree, Members: 1}
			receive := func(message digest.Digest) []forwarder.Action {
				peer.Sequence++
				peer.WeightsAges, peer.WeightsBounds = message.WeightsAges, message.WeightsBounds
				peer.EarlierAges, peer.EarlierBounds = message.EarlierAges, message.EarlierBounds
				return instance.Step(now, forwarder.DigestReceived{Digest: peer})
			}
			instance.Step(now, forwarder.Tick{})
			instance.Step(now, forwarder.ReplicaUpdated{Kind: replicator.Weights, Copy: replicator.Copy{Era: 1, Revision: 70, ConfirmedAt: now.Add(test.echoedAfter - 3000)}})
			for _, action := range receive(digest.Digest{}) {
				if sent, ok := action.(forwarder.SendDigest); ok && test.echoedAfter > 0 {
					peer.Echo = digest.Echo{Incarnation: sent.Digest.Incarnation, Sequence: sent.Digest.Sequence}
				}
			}
			now = now.Add(test.echoedAfter)
			for _, read := range test.read {
				switch read := read.(type) {
				case digest.Digest:
					receive(read)
				case clock.Millis:
					now = now.Add(read)
					instance.Step(now, forwarder.Tick{})
				case forwarder.Event:
					instance.Step(now, read)
				}
			}
			observed, bounds := instance.WeightsAges(now)
			if test.age > 0 {
				require.Equal(t, of(test.age), observed)
				require.Empty(t, bounds[model])
				return
			}
			require.Empty(t, observed[model], "a bound must not be sent as an age")
			delete(bounds[model], 3)
			if test.longest == limit || test.longest == 0 {
				require.Empty(t, bounds[model], "unknown versions, and those that are older than the limit")
				return
			}
			require.Equal(t, of(test.longest), bounds)
		})
	}
}

// TestAgesForEarlierBuildsIncludeTheWait verifies what an instance states to builds that check the limit only
// when they choose a server, and that it does not take it back for the true age.
func TestAgesForEarlierBuildsIncludeTheWait(t *testing.T) {
	t.Parallel()
	c := newStoreCluster(t, 1, 3)
	c.run(3 * clock.Second)
	c.earlierBuilds = map[int]earlierBuild{2: {1: c.now}}
	c.publishedVersion, c.publishedAt[2] = 2, c.now
	c.objects.sync(c)
	c.run(2 * clock.Second)
	age, limit := c.now.Since(c.publishedAt[2]), c.settings[0].Bounds.MaxWeightsAge
	stated := c.now.Since(c.earlierBuilds[2][2])
	require.GreaterOrEqual(t, stated, age+limit/2)
	require.Less(t, stated, age+limit/2+clock.Second)
	for i := range 2 {
		ages, _ := c.instances[i].WeightsAges(c.now)
		require.GreaterOrEqual(t, ages[model][2], age, "instance %d", i)
		require.Less(t, ages[model][2], age+clock.Second, "instance %d", i)
	}
}

// TestStartedInstanceUsesNoWeightsFromBeforeAGap starts an instance that learns when the newest version was
// published, but not of the one before. No engine loads either in time.
func TestStartedInstanceUsesNoWeightsFromBeforeAGap(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	for i := range c.instances {
		c.storeCutOff[i] = true
	}
	c.publishedVersion, c.publishedAt[2], c.publishedAt[3] = 3, c.now.Add(-7*clock.Second), c.now
	c.publishTo(0, 3)
	c.startInstance(1)
	for end := c.now.Add(4 * clock.Second); c.now < end; {
		c.confirmAll()
		c.sendRequest(1, "once")
		c.run(50)
	}
	ages, _ := c.instances[1].WeightsAges(c.now)
	require.Contains(t, ages[model], int64(3))
}
