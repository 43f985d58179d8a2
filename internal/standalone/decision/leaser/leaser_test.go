package leaser_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/leaser"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/store"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

const name = "leases/x"

// process is one instance that wants the lease. Its calls take time, may lose
// their answers, and the process may be paused.
type process struct {
	lease  leaser.Lease
	paused clock.Millis // paused is until when it takes no step.
	call   *call
}

// call is a call under way.
type call struct {
	op      objectstore.Op
	write   leaser.Write
	asked   clock.Millis
	arrives clock.Millis
	returns clock.Millis
	lost    bool
	answer  *objectstore.Response
}

// step lets the process do what is due at now.
func (p *process) step(source *rand.Rand, now clock.Millis, objects *store.Store) {
	if c := p.call; c != nil && now >= c.arrives && c.answer == nil {
		answer := apply(objects, c.op)
		c.answer = &answer
	}
	if now < p.paused {
		return
	}
	if c := p.call; c != nil {
		if now >= c.returns {
			p.finish(now, c)
		}
		return
	}
	switch step := p.lease.Next(now).(type) {
	case leaser.Read:
		p.begin(source, now, &call{op: objectstore.Get{Name: name}})
	case leaser.Write:
		p.begin(source, now, &call{op: objectstore.Put{Name: name, Value: step.Record.Encode(), IfVersion: step.IfVersion}, write: step})
	}
}

func (p *process) begin(source *rand.Rand, now clock.Millis, c *call) {
	c.asked = now
	c.arrives = now.Add(clock.Millis(source.IntN(700)))
	c.returns = c.arrives.Add(clock.Millis(source.IntN(300)))
	c.lost = source.IntN(10) == 0
	if source.IntN(8) == 0 {
		p.paused = now.Add(clock.Millis(source.IntN(8000)))
	}
	p.lease = p.lease.WithPendingCall()
	p.call = c
}

func (p *process) finish(now clock.Millis, c *call) {
	p.call = nil
	answer := *c.answer
	if c.lost {
		answer = objectstore.Response{Outcome: objectstore.Unknown}
	}
	if _, ok := c.op.(objectstore.Get); ok {
		p.lease = p.lease.WithRead(now, answer)
		return
	}
	p.lease = p.lease.WithWritten(c.asked, now, c.write, answer)
}

func apply(objects *store.Store, op objectstore.Op) objectstore.Response {
	switch op := op.(type) {
	case objectstore.Get:
		return objects.Get(op)
	default:
		return objects.Put(op.(objectstore.Put))
	}
}

// TestOneHolder holds that no two processes hold the lease at one moment, under
// slow calls, lost answers, pauses and releases.
func TestOneHolder(t *testing.T) {
	const runs = 60
	handovers := 0
	for seed := range uint64(runs) {
		source := rand.New(rand.NewPCG(seed, 1))
		objects := store.New()
		processes := make([]*process, 3)
		for i := range processes {
			processes[i] = &process{lease: leaser.New(name, fmt.Sprintf("p%d#1", i)).WithWanted(true)}
		}
		last := -1
		for now := clock.Second; now < 60*clock.Second; now += 5 {
			var holders []int
			for i, p := range processes {
				p.lease = p.lease.WithWanted(source.IntN(5000) != 0)
				p.step(source, now, objects)
				if p.lease.Held(now) {
					holders = append(holders, i)
				}
			}
			require.LessOrEqual(t, len(holders), 1, "seed %d at %s: %v", seed, now, holders)
			if len(holders) == 1 && holders[0] != last {
				handovers++
				last = holders[0]
			}
		}
	}
	require.Greater(t, handovers, 2*runs, "the lease must have changed hands")
	t.Logf("%d handovers in %d runs", handovers, runs)
}

// TestHolderRenews holds that a holder whose calls are answered goes on.
func TestHolderRenews(t *testing.T) {
	objects := store.New()
	p := &process{lease: leaser.New(name, "p#1").WithWanted(true)}
	held := 0
	for now := clock.Second; now < 20*clock.Second; now += 5 {
		if c := p.call; c != nil {
			answer := apply(objects, c.op)
			c.answer = &answer
			p.finish(now, c)
		}
		switch step := p.lease.Next(now).(type) {
		case leaser.Read:
			p.call = &call{op: objectstore.Get{Name: name}, asked: now}
			p.lease = p.lease.WithPendingCall()
		case leaser.Write:
			p.call = &call{op: objectstore.Put{Name: name, Value: step.Record.Encode(), IfVersion: step.IfVersion}, write: step, asked: now}
			p.lease = p.lease.WithPendingCall()
		}
		if p.lease.Held(now) {
			held++
		}
	}
	require.Greater(t, held, 3790, "of 3800 instants")
}
