// Package watcher follows the objects of one kind in the platform's store: a list,
// then one watch after the other. It tells as of when what it knows was the newest.
//
// # Usage
//
//	follow := watcher.New(store, "servers", pace, sink)
//	follow.Run(ctx)
package watcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"

	"github.com/hyssopdoor/hyssopdoor/internal/runtime/bootclock"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// ErrHistoryGone means that the changes since the revision are no longer known.
var ErrHistoryGone = errors.New("the store has dropped its history")

const (
	// retryAfter is the time from a failed call to the next at first, which doubles
	// up to maxRetryAfter; both are halved or not by chance, so that instances do not
	// come back together.
	retryAfter    = 100 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
	// probeWait is how long a watch waits after a failed call: its answer tells at once
	// that the store is back, and one that hangs holds up the next for less long.
	probeWait = 100 * clock.Millisecond
)

// Item is one object.
type Item struct {
	Name     string
	Revision int64
	Value    []byte
	Removed  bool
}

// Listing is a list of objects, or of changes.
type Listing struct {
	Items []Item
	// Revision is the store's; watching goes on from there.
	Revision int64
}

// Store reads the store.
type Store interface {
	List(ctx context.Context, kind string) (Listing, error)
	Watch(ctx context.Context, kind string, since int64, wait clock.Millis) (Listing, error)
}

// Sink takes what was read. At is as of when it was the newest.
type Sink interface {
	Listed(at clock.Millis, items []Item)
	Changed(at clock.Millis, items []Item)
	Failed(err error)
}

// Pace is how often a kind is asked for.
type Pace struct {
	// Wait is how long a watch waits for a change.
	Wait clock.Millis
	// Rest is the least time between two watches, in which changes gather.
	Rest clock.Millis
}

// Watcher follows one kind.
type Watcher struct {
	store Store
	kind  string
	pace  Pace
	sink  Sink
}

// New returns a Watcher of the kind.
func New(store Store, kind string, pace Pace, sink Sink) *Watcher {
	return &Watcher{store: store, kind: kind, pace: pace, sink: sink}
}

// Run follows the kind until the context ends.
func (w *Watcher) Run(ctx context.Context) {
	pause := retryAfter
	since := int64(0)
	listed, failing := false, false
	for ctx.Err() == nil {
		var err error
		if listed {
			since, err = w.watch(ctx, since, w.waitFor(failing))
		} else {
			since, err = w.list(ctx)
		}
		switch {
		case err == nil:
			listed, failing = true, false
			pause = retryAfter
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryGone):
			listed = false
		default:
			failing = true
			w.sink.Failed(err)
			rest(ctx, pause/2+rand.N(pause/2+1))
			pause = min(2*pause, maxRetryAfter)
		}
	}
}

func (w *Watcher) list(ctx context.Context) (int64, error) {
	asked := bootclock.Now()
	listing, err := w.store.List(ctx, w.kind)
	if err != nil {
		return 0, err
	}
	w.sink.Listed(asked, listing.Items)
	return listing.Revision, nil
}

// waitFor returns how long the next watch waits.
func (w *Watcher) waitFor(failing bool) clock.Millis {
	if failing {
		return min(w.pace.Wait, probeWait)
	}
	return w.pace.Wait
}

// watch waits for changes. An answer without any was given after the whole wait.
func (w *Watcher) watch(ctx context.Context, since int64, wait clock.Millis) (int64, error) {
	asked := bootclock.Now()
	listing, err := w.store.Watch(ctx, w.kind, since, wait)
	if err != nil {
		return since, err
	}
	if len(listing.Items) == 0 && bootclock.Now() >= asked.Add(wait) {
		asked = asked.Add(wait)
	}
	w.sink.Changed(asked, listing.Items)
	if next := asked.Add(w.pace.Rest); bootclock.Now() < next {
		rest(ctx, next.Since(bootclock.Now()).Duration())
	}
	return max(since, listing.Revision), nil
}

func rest(ctx context.Context, span time.Duration) {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
