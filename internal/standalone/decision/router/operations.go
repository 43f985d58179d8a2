package router

import (
	"fmt"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/eventlog"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/applier"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// operationTimeout limits the duration of an operator's operation.
const operationTimeout = 5 * clock.Second

// operation is an operator's pending operation; only one of its fields is set.
type operation struct {
	change         *applier.Applier
	listing        *callListing
	resolution     *callResolution
	pendingReplies int // pendingReplies is the number of replies awaited from peers.
}

func (r *Router) handleOperation(ev event.Event) {
	switch ev := ev.(type) {
	case event.ConfigSubmitted:
		r.submitConfig(ev)
	case event.KeyIssueRequested:
		r.startChange(ev.Operation, applier.AddKey{ID: ev.ID, Team: ev.Team, Secret: ev.Secret})
	case event.KeyWithdrawalRequested:
		r.startChange(ev.Operation, applier.RemoveKey{ID: ev.ID})
	case event.CallListRequested:
		r.listCalls(ev.Operation)
	case event.CallResolutionSubmitted:
		r.resolveCall(ev)
	case event.ExplanationRequested:
		r.explainRequest(ev)
	}
}

// beginOperation registers the operation. It reports false if there are too many or the instance has
// no time left.
func (r *Router) beginOperation(id string, op *operation) bool {
	if r.workEnded() {
		r.finishOperation(id, stoppingResult())
		return false
	}
	if len(r.operations) >= maxOperations {
		r.finishOperation(id, action.OperationResult{Outcome: action.OperationFailed, Message: "too many operations at one time; try again"})
		return false
	}
	r.operations[id] = op
	return true
}

func (r *Router) finishOperation(id string, result action.OperationResult) {
	delete(r.operations, id)
	r.emit(action.FinishOperation{Operation: id, Result: result})
}

func (r *Router) submitConfig(ev event.ConfigSubmitted) {
	err := ev.Config.Validate(func(section, key string) collector.Position {
		return collector.Position{Section: section, Key: key}
	})
	if err != nil {
		findings := err.(*collector.Collector).Findings()
		r.finishOperation(ev.Operation, action.OperationResult{Outcome: action.OperationInvalid, Message: "the configuration is not valid", Findings: findings})
		return
	}
	r.startChange(ev.Operation, applier.Replace{Config: ev.Config, BaseRevision: ev.BaseRevision})
}

func (r *Router) startChange(id string, change applier.Change) {
	op := &operation{change: applier.New(change, r.ids.NewID("w"), r.ids.NewID("s"), r.configShardValues, r.now.Add(operationTimeout))}
	if r.beginOperation(id, op) {
		r.applyChangeStep(id, op.change.Begin())
	}
}

func (r *Router) applyChangeStep(id string, step applier.Step) {
	switch step := step.(type) {
	case applier.CallPlatform:
		r.callPlatform(operationCall{operation: id}, step.Op)
	case applier.Pause:
		r.scheduleAt(step.Until, operationTimer{operation: id})
	case applier.Accepted:
		r.finishAcceptedChange(id, step)
	case applier.Conflict:
		r.log(eventlog.New(eventlog.ConfigConflict, "").With("revision", step.Revision))
		r.finishOperation(id, action.OperationResult{Outcome: action.OperationConflict, Revision: step.Revision, Message: fmt.Sprintf("another operator has changed the configuration, now at revision %d; look at it and apply again", step.Revision)})
	case applier.Rejected:
		r.finishOperation(id, action.OperationResult{Outcome: rejectedOutcome(step), Message: step.Message})
	case applier.TimedOut:
		r.finishTimedOutChange(id, step)
	}
}

func (r *Router) finishAcceptedChange(id string, accepted applier.Accepted) {
	r.log(eventlog.New(eventlog.ConfigWritten, "").With("revision", accepted.Manifest.Revision))
	if r.setPendingConfig(accepted.Manifest) {
		for digest, value := range accepted.Values {
			r.pendingConfig.values[digest] = value
		}
		if !r.applyPendingConfig() {
			r.readMissingConfigShards()
		}
	}
	r.finishOperation(id, action.OperationResult{Outcome: action.OperationDone, Revision: accepted.Manifest.Revision})
}

func rejectedOutcome(rejected applier.Rejected) action.OperationOutcome {
	if rejected.NotFound {
		return action.OperationNotFound
	}
	return action.OperationInvalid
}

func (r *Router) finishTimedOutChange(id string, timedOut applier.TimedOut) {
	if timedOut.MayTakeEffect {
		r.finishOperation(id, action.OperationResult{Outcome: action.OperationUnknown, Message: "the platform did not answer; the change may have taken effect: look with config show"})
		return
	}
	r.finishOperation(id, action.OperationResult{Outcome: action.OperationFailed, Message: "the platform can't be reached; nothing was changed"})
}

func (r *Router) handleOperationResponse(id string, response objectstore.Response) {
	op, ok := r.operations[id]
	if !ok {
		return
	}
	switch {
	case op.change != nil:
		r.applyChangeStep(id, op.change.HandleResponse(r.now, response))
	case op.listing != nil:
		r.handleCallList(id, op.listing, response)
	case op.resolution != nil:
		r.handleResolutionResponse(id, op.resolution, response)
	}
}

func (r *Router) resumeOperation(id string) {
	if op, ok := r.operations[id]; ok && op.change != nil {
		r.applyChangeStep(id, op.change.Resume(r.now))
	}
}

// Configuration returns the configuration in force, and the revision and the
// configuration revision of its manifest.
func (r *Router) Configuration() (configuration config.Config, revision, configRevision int64) {
	return r.configuration, r.manifest.Revision, r.manifest.ConfigRevision
}

// callListing collects the calls whose outcome is unknown.
type callListing struct {
	calls map[string]recorder.Record
}

// maxListedCalls is the limit of calls in one list.
const maxListedCalls = 1000

func (r *Router) listCalls(id string) {
	if r.beginOperation(id, &operation{listing: &callListing{calls: map[string]recorder.Record{}}}) {
		r.callPlatform(operationCall{operation: id}, objectstore.ListObjects{Prefix: recorder.Prefix})
	}
}

func (r *Router) handleCallList(id string, listing *callListing, response objectstore.Response) {
	if response.Failed() {
		r.finishOperation(id, action.OperationResult{Outcome: action.OperationFailed, Message: "the platform can't be reached"})
		return
	}
	last := ""
	for _, object := range response.Objects {
		last = object.Name
		record, err := recorder.DecodeRecord(object.Value)
		if err == nil && r.outcomeUnknown(record) && len(listing.calls) < maxListedCalls {
			record.Response.Body = nil
			listing.calls[object.Name] = record
		}
	}
	if last != "" && len(listing.calls) < maxListedCalls {
		r.callPlatform(operationCall{operation: id}, objectstore.ListObjects{Prefix: recorder.Prefix, After: last})
		return
	}
	r.finishOperation(id, action.OperationResult{Outcome: action.OperationDone, Calls: listing.calls})
}

// outcomeUnknown reports whether the outcome of the call can no longer be determined:
// its record says so, or the recorded attempt is no longer running.
func (r *Router) outcomeUnknown(record recorder.Record) bool {
	return record.State == recorder.StateUnknown || (record.State == recorder.StateAttempted && !r.mayBeRunning(record))
}

// callResolution is an operator's resolution of one call.
type callResolution struct {
	request event.CallResolutionSubmitted
	written bool
}

func (r *Router) resolveCall(ev event.CallResolutionSubmitted) {
	if r.beginOperation(ev.Operation, &operation{resolution: &callResolution{request: ev}}) {
		r.callPlatform(operationCall{operation: ev.Operation}, objectstore.Get{Name: ev.Object})
	}
}

func (r *Router) handleResolutionResponse(id string, resolution *callResolution, response objectstore.Response) {
	switch {
	case response.Failed():
		r.finishOperation(id, action.OperationResult{Outcome: action.OperationFailed, Message: "the platform did not answer; list the calls again"})
	case response.Outcome == objectstore.NotFound:
		r.finishOperation(id, action.OperationResult{Outcome: action.OperationNotFound, Message: "there is no record " + resolution.request.Object})
	case response.Outcome == objectstore.Conflict:
		r.finishOperation(id, action.OperationResult{Outcome: action.OperationConflict, Message: "the call's record has changed; list the calls again"})
	case resolution.written:
		r.finishOperation(id, action.OperationResult{Outcome: action.OperationDone})
	default:
		r.writeResolution(id, resolution, response)
	}
}

func (r *Router) writeResolution(id string, resolution *callResolution, response objectstore.Response) {
	record, err := recorder.DecodeRecord(response.Value)
	if err != nil || !r.outcomeUnknown(record) {
		r.finishOperation(id, action.OperationResult{Outcome: action.OperationInvalid, Message: "the call's outcome is known or it is still running"})
		return
	}
	resolution.written = true
	resolved := record.WithEnd(recorder.StateNotRun, recorder.Response{})
	if resolution.request.Ran {
		resolved = record.WithEnd(recorder.StateDone, recorder.Response{Status: action.StatusOK, BodyOmitted: true})
	}
	op := objectstore.Put{Name: resolution.request.Object, Value: resolved.Encode(), IfVersion: response.Version}
	r.callPlatform(operationCall{operation: id}, op)
}
