package router

import (
	"fmt"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/journal"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/action"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/applier"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/config"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/event"
	"github.com/hyssopdoor/hyssopdoor/internal/standalone/decision/recorder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
	"github.com/hyssopdoor/hyssopdoor/pkg/collector"
)

// operationTimeout bounds an operator's operation.
const operationTimeout = 5 * clock.Second

// operation is an operator's operation under way; one of its parts is set.
type operation struct {
	change    *applier.Applier
	listing   *listing
	resolving *resolving
	answers   int // answers are awaited, of a question to the peers.
}

func (r *Router) operate(happened event.Event) {
	switch happened := happened.(type) {
	case event.ConfigSubmitted:
		r.submitConfig(happened)
	case event.KeyIssued:
		r.change(happened.Operation, applier.AddKey{ID: happened.ID, Team: happened.Team, Secret: happened.Secret})
	case event.KeyWithdrawn:
		r.change(happened.Operation, applier.RemoveKey{ID: happened.ID})
	case event.CallsListed:
		r.listCalls(happened.Operation)
	case event.CallResolved:
		r.resolveCall(happened)
	case event.ExplanationAsked:
		r.explain(happened)
	}
}

// begin registers the operation. It reports false when there are too many.
func (r *Router) begin(id string, begun *operation) bool {
	if len(r.operations) >= maxOperations {
		r.finish(id, action.Result{Outcome: action.OperationFailed, Message: "too many operations at one time; try again"})
		return false
	}
	r.operations[id] = begun
	return true
}

func (r *Router) finish(id string, result action.Result) {
	delete(r.operations, id)
	r.emit(action.FinishOperation{Operation: id, Result: result})
}

func (r *Router) submitConfig(happened event.ConfigSubmitted) {
	err := happened.Config.Validate(func(section, key string) collector.Place {
		return collector.Place{Section: section, Key: key}
	})
	if err != nil {
		findings := err.(*collector.Collector).Findings()
		r.finish(happened.Operation, action.Result{Outcome: action.OperationInvalid, Message: "the configuration is not valid", Findings: findings})
		return
	}
	r.change(happened.Operation, applier.Replace{Config: happened.Config, Base: happened.Base})
}

func (r *Router) change(id string, change applier.Change) {
	operation := &operation{change: applier.New(change, r.ids.ID("w"), r.ids.ID("s"), r.values, r.now.Add(operationTimeout))}
	if r.begin(id, operation) {
		r.changeStep(id, operation.change.Begin())
	}
}

func (r *Router) changeStep(id string, step applier.Step) {
	switch step := step.(type) {
	case applier.Ask:
		r.call(operationCall{operation: id}, step.Op)
	case applier.Pause:
		r.at(step.Until, operationDue{operation: id})
	case applier.Accepted:
		r.changeAccepted(id, step)
	case applier.Conflicted:
		r.log(journal.New(journal.ConfigConflict, "").With("revision", step.Revision))
		r.finish(id, action.Result{Outcome: action.OperationConflict, Revision: step.Revision, Message: fmt.Sprintf("another operator has changed the configuration, now at revision %d; look at it and apply again", step.Revision)})
	case applier.Rejected:
		r.finish(id, action.Result{Outcome: rejectedOutcome(step), Message: step.Message})
	case applier.GivenUp:
		r.changeGivenUp(id, step)
	}
}

func (r *Router) changeAccepted(id string, accepted applier.Accepted) {
	r.log(journal.New(journal.ConfigWritten, "").With("revision", accepted.Manifest.Revision))
	if r.pend(accepted.Manifest) {
		for digest, value := range accepted.Values {
			r.pending.values[digest] = value
		}
		if !r.completeConfig() {
			r.readShards()
		}
	}
	r.finish(id, action.Result{Outcome: action.OperationDone, Revision: accepted.Manifest.Revision})
}

func rejectedOutcome(rejected applier.Rejected) action.OperationOutcome {
	if rejected.NotFound {
		return action.OperationNotFound
	}
	return action.OperationInvalid
}

func (r *Router) changeGivenUp(id string, givenUp applier.GivenUp) {
	if givenUp.MayTakeEffect {
		r.finish(id, action.Result{Outcome: action.OperationUnknown, Message: "the platform did not answer; the change may have taken effect: look with config show"})
		return
	}
	r.finish(id, action.Result{Outcome: action.OperationFailed, Message: "the platform can't be reached; nothing was changed"})
}

func (r *Router) operationAnswered(id string, answer objectstore.Answer) {
	operation, ok := r.operations[id]
	if !ok {
		return
	}
	switch {
	case operation.change != nil:
		r.changeStep(id, operation.change.Answered(r.now, answer))
	case operation.listing != nil:
		r.callsListed(id, operation.listing, answer)
	case operation.resolving != nil:
		r.callResolving(id, operation.resolving, answer)
	}
}

func (r *Router) operationResumed(id string) {
	if operation, ok := r.operations[id]; ok && operation.change != nil {
		r.changeStep(id, operation.change.Resumed(r.now))
	}
}

// Configuration returns the configuration in force and its manifest's revision
// and configuration revision.
func (r *Router) Configuration() (configuration config.Config, revision, configRevision int64) {
	return r.configuration, r.manifest.Revision, r.manifest.ConfigRevision
}

// listing collects the calls whose outcome is unknown.
type listing struct {
	calls map[string]recorder.Record
}

// maxListed bounds the calls in one list.
const maxListed = 1000

func (r *Router) listCalls(id string) {
	if r.begin(id, &operation{listing: &listing{calls: map[string]recorder.Record{}}}) {
		r.call(operationCall{operation: id}, objectstore.ListObjects{Prefix: recorder.Prefix})
	}
}

func (r *Router) callsListed(id string, listing *listing, answer objectstore.Answer) {
	if answer.Failed() {
		r.finish(id, action.Result{Outcome: action.OperationFailed, Message: "the platform can't be reached"})
		return
	}
	last := ""
	for _, object := range answer.Objects {
		last = object.Name
		record, err := recorder.DecodeRecord(object.Value)
		if err == nil && r.isUnknown(record) && len(listing.calls) < maxListed {
			record.Answer.Body = nil
			listing.calls[object.Name] = record
		}
	}
	if last != "" && len(listing.calls) < maxListed {
		r.call(operationCall{operation: id}, objectstore.ListObjects{Prefix: recorder.Prefix, After: last})
		return
	}
	r.finish(id, action.Result{Outcome: action.OperationDone, Calls: listing.calls})
}

// isUnknown reports whether nobody is left who can tell how the call ended.
func (r *Router) isUnknown(record recorder.Record) bool {
	return record.State == recorder.StateUnknown || (record.State == recorder.StateAttempted && !r.runs(record))
}

// resolving is an operator's resolution of one call.
type resolving struct {
	asked   event.CallResolved
	written bool
}

func (r *Router) resolveCall(happened event.CallResolved) {
	if r.begin(happened.Operation, &operation{resolving: &resolving{asked: happened}}) {
		r.call(operationCall{operation: happened.Operation}, objectstore.Get{Name: happened.Object})
	}
}

func (r *Router) callResolving(id string, resolving *resolving, answer objectstore.Answer) {
	switch {
	case answer.Failed():
		r.finish(id, action.Result{Outcome: action.OperationFailed, Message: "the platform did not answer; list the calls again"})
	case answer.Outcome == objectstore.Absent:
		r.finish(id, action.Result{Outcome: action.OperationNotFound, Message: "there is no record " + resolving.asked.Object})
	case answer.Outcome == objectstore.Conflict:
		r.finish(id, action.Result{Outcome: action.OperationConflict, Message: "the call's record has changed; list the calls again"})
	case resolving.written:
		r.finish(id, action.Result{Outcome: action.OperationDone})
	default:
		r.writeResolution(id, resolving, answer)
	}
}

func (r *Router) writeResolution(id string, resolving *resolving, answer objectstore.Answer) {
	record, err := recorder.DecodeRecord(answer.Value)
	if err != nil || !r.isUnknown(record) {
		r.finish(id, action.Result{Outcome: action.OperationInvalid, Message: "the call's outcome is known or it is still running"})
		return
	}
	resolving.written = true
	resolved := record.WithEnd(recorder.StateNotRun, recorder.Answer{})
	if resolving.asked.Ran {
		resolved = record.WithEnd(recorder.StateDone, recorder.Answer{Status: action.StatusOK, Omitted: true})
	}
	op := objectstore.Put{Name: resolving.asked.Object, Value: resolved.Encode(), IfVersion: answer.Version}
	r.call(operationCall{operation: id}, op)
}
