// Package backlogkeeper keeps, at one instance, how long each of some engines still takes
// to prefill the prompts that all instances have sent it.
//
// Load pattern: hundreds of instances send long prompts to the same engines, each a few a
// second. What they learn of each other's prompts by digests is some hundred milliseconds
// old, as long as the prefill of a long prompt, so that they would choose the same engine.
// Each engine therefore has one keeper, which receives a report of each prompt sent there,
// and a query before one is sent.
//
// A backlog shrinks with time. A message that is lost, or a keeper that restarts, makes it
// too small for the time of some prompts, which costs quality only.
//
// # Usage
//
//	keeper := backlogkeeper.New()
//	keeper.Add(now, "engine-1", 200)
//	wait := keeper.Backlog(now, "engine-1")
package backlogkeeper

import "github.com/hyssopdoor/hyssopdoor/pkg/clock"

const (
	// maxEngines limits the engines that are kept.
	maxEngines = 4096
	// maxBacklog limits an engine's backlog, so that wrong messages can't keep it busy.
	maxBacklog = 30 * clock.Second
)

// Keeper has the backlogs of engines. It is not safe for concurrent use.
type Keeper struct {
	// busyUntil is the expected end of all prompts of an engine.
	busyUntil map[string]clock.Millis
}

// New returns a Keeper without backlogs.
func New() *Keeper { return &Keeper{busyUntil: map[string]clock.Millis{}} }

// Add adds a prompt that takes the time work.
func (k *Keeper) Add(now clock.Millis, engine string, work clock.Millis) {
	if _, known := k.busyUntil[engine]; !known && len(k.busyUntil) >= maxEngines {
		clear(k.busyUntil)
	}
	end := max(now, k.busyUntil[engine]).Add(max(0, work))
	k.busyUntil[engine] = min(end, now.Add(maxBacklog))
}

// Backlog returns the time until the engine has prefilled all prompts.
func (k *Keeper) Backlog(now clock.Millis, engine string) clock.Millis {
	return max(0, k.busyUntil[engine].Since(now))
}

// Forget drops the backlog of an engine that has restarted.
func (k *Keeper) Forget(engine string) { delete(k.busyUntil, engine) }
