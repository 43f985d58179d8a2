package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/replicator"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Step processes an event at now and returns the actions to perform, in order. Times
// must never decrease from one step to the next.
func (f *Forwarder) Step(now clock.Millis, event Event) []Action {
	f.now = now
	f.actions = nil
	if f.startedAt == 0 {
		f.startedAt = now
		f.replicas = replicator.New(now, digest.ID(f.settings.Name), replicator.NewTiming(f.settings.Bounds.ConfigApply, f.settings.Bounds.KeyWithdrawal))
		f.log(eventlog.New(eventlog.InstanceStarted, "").With("instance", f.settings.Name).With("domain", f.settings.Domain).With("incarnation", f.incarnation))
	}
	f.detectPause()
	// After a suspension, no request may be sent by a decision from before it.
	f.advanceExposures()
	f.handle(event)
	f.runDueWork()
	return f.actions
}

// NextWake returns the time of the next Tick.
func (f *Forwarder) NextWake() clock.Millis {
	wake := min(f.now.Add(maxTickInterval), f.nextBroadcast)
	if f.rollout.HoldsLease(f.now) || len(f.rollout.LoadingEngines()) > 0 {
		wake = f.now.Add(rolloutTickInterval)
	}
	for _, fl := range f.flights {
		wake = min(wake, fl.checkAt)
	}
	if f.nextWithdrawal > f.now {
		wake = min(wake, f.nextWithdrawal)
	}
	if round, waiting := f.admitter.NextRound(); waiting {
		wake = min(wake, round)
	}
	return max(wake, f.now.Add(clock.Millisecond))
}

func (f *Forwarder) handle(event Event) {
	switch event := event.(type) {
	case RequestArrived:
		f.handleArrival(event.Request)
	case CallerDisconnected:
		f.handleDisconnect(event.Request)
	case StreamStarted:
		f.handleStreamStarted(event)
	case StreamProgressed:
		f.handleStreamProgressed(event)
	case StreamUnplaced:
		f.handleStreamUnplaced(event)
	case StreamSilent:
		f.handleStreamSilent(event)
	case AttemptEnded:
		f.handleAttemptEnded(event)
	case StateRead:
		f.handleStateRead(event)
	case StateConfirmed:
		f.confirmState(event.ConfirmedAt)
	case ServersListed:
		f.handleServersListed(event)
	case ServerChanged:
		f.handleServerChanged(event)
	case HealthChecked:
		f.handleHealthChecked(event)
	case PathProbed:
		f.handlePathProbed(event)
	case TunnelRequested:
		f.handleTunnelRequested(event)
	case TunnelConnected:
		f.handleTunnelConnected(event)
	case TunnelEnded:
		delete(f.tunnels, event.Tunnel)
	case ServerNotice:
		f.handleServerNotice(event)
	case StoreFailed:
		f.handleStoreFailed(event)
	case StoreResponded:
		f.handleStoreResponded()
	case StoreEraSeen:
		f.handleStoreEraSeen(event)
	case PeersListed:
		f.handlePeersListed(event)
	case DigestReceived:
		f.handleDigest(event.Digest)
	case KeeperMessageReceived:
		f.handleKeeperMessage(event.Message)
	case AssignmentsListed:
		f.handleAssignmentsListed(event)
	case AssignmentRead:
		f.handleAssignmentRead(event)
	case AssignmentWritten:
		f.handleAssignmentWritten(event)
	case OriginMessageReceived:
		f.handleOriginMessage(event.Message)
	case ReplicaUpdated:
		f.handleReplicaUpdated(event)
	case ReplicasFetched:
		f.handleReplicasFetched(event)
	case CacheRead:
		f.handleCacheRead(event)
	case SoftwareOrdered, SoftwareOrderRemoved, VerdictWritten:
		f.handleRolloutEvent(event)
	case SettingsReloaded:
		f.handleSettingsReloaded(event.Settings)
	case DrainRequested:
		f.handleDrainRequested(event)
	case DrainExpired:
		f.handleDrainExpired()
	default:
		f.handleRollout(event)
	}
}
