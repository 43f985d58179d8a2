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

const objectName = "leases/x"

// process simulates one instance that wants the lease. Its calls have latency,
// their responses may be lost, and the process may be paused.
type process struct {
	lease       leaser.Lease
	pausedUntil clock.Millis // pausedUntil is the end of the pause; until then no step is taken.
	call        *call
}

// call is a pending call to the store.
type call struct {
	op           objectstore.Op
	write        leaser.Write
	requestedAt  clock.Millis
	appliedAt    clock.Millis
	returnedAt   clock.Millis
	responseLost bool
	response     *objectstore.Response
}

// step runs the actions of the process that are due at the time now.
func (p *process) step(source *rand.Rand, now clock.Millis, objects *store.Store) {
	if c := p.call; c != nil && now >= c.appliedAt && c.response == nil {
		response := apply(objects, c.op)
		c.response = &response
	}
	if now < p.pausedUntil {
		return
	}
	if c := p.call; c != nil {
		if now >= c.returnedAt {
			p.finishCall(now, c)
		}
		return
	}
	switch step := p.lease.Next(now).(type) {
	case leaser.Read:
		p.startCall(source, now, &call{op: objectstore.Get{Name: objectName}})
	case leaser.Write:
		p.startCall(source, now, &call{op: objectstore.Put{Name: objectName, Value: step.Record.Encode(), IfVersion: step.IfVersion}, write: step})
	}
}

func (p *process) startCall(source *rand.Rand, now clock.Millis, c *call) {
	c.requestedAt = now
	c.appliedAt = now.Add(clock.Millis(source.IntN(700)))
	c.returnedAt = c.appliedAt.Add(clock.Millis(source.IntN(300)))
	c.responseLost = source.IntN(10) == 0
	if source.IntN(8) == 0 {
		p.pausedUntil = now.Add(clock.Millis(source.IntN(8000)))
	}
	p.lease = p.lease.WithPendingCall()
	p.call = c
}

func (p *process) finishCall(now clock.Millis, c *call) {
	p.call = nil
	response := *c.response
	if c.responseLost {
		response = objectstore.Response{Outcome: objectstore.Unknown}
	}
	if _, ok := c.op.(objectstore.Get); ok {
		p.lease = p.lease.WithRead(now, response)
		return
	}
	p.lease = p.lease.WithWritten(c.requestedAt, now, c.write, response)
}

func apply(objects *store.Store, op objectstore.Op) objectstore.Response {
	switch op := op.(type) {
	case objectstore.Get:
		return objects.Get(op)
	default:
		return objects.Put(op.(objectstore.Put))
	}
}

// TestOneHolder verifies that at most one process holds the lease at a time, under
// slow calls, lost responses, pauses and releases.
func TestOneHolder(t *testing.T) {
	const runs = 60
	handovers := 0
	for seed := range uint64(runs) {
		source := rand.New(rand.NewPCG(seed, 1))
		objects := store.New()
		processes := make([]*process, 3)
		for i := range processes {
			processes[i] = &process{lease: leaser.New(objectName, fmt.Sprintf("p%d#1", i)).WithWanted(true)}
		}
		lastHolder := -1
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
			if len(holders) == 1 && holders[0] != lastHolder {
				handovers++
				lastHolder = holders[0]
			}
		}
	}
	require.Greater(t, handovers, 2*runs, "the lease must have changed holders")
	t.Logf("%d handovers in %d runs", handovers, runs)
}

// TestHolderRenews verifies that a holder keeps the lease while its calls succeed.
func TestHolderRenews(t *testing.T) {
	objects := store.New()
	p := &process{lease: leaser.New(objectName, "p#1").WithWanted(true)}
	held := 0
	for now := clock.Second; now < 20*clock.Second; now += 5 {
		if c := p.call; c != nil {
			response := apply(objects, c.op)
			c.response = &response
			p.finishCall(now, c)
		}
		switch step := p.lease.Next(now).(type) {
		case leaser.Read:
			p.call = &call{op: objectstore.Get{Name: objectName}, requestedAt: now}
			p.lease = p.lease.WithPendingCall()
		case leaser.Write:
			p.call = &call{op: objectstore.Put{Name: objectName, Value: step.Record.Encode(), IfVersion: step.IfVersion}, write: step, requestedAt: now}
			p.lease = p.lease.WithPendingCall()
		}
		if p.lease.Held(now) {
			held++
		}
	}
	require.Greater(t, held, 3790, "of 3800 instants")
}
