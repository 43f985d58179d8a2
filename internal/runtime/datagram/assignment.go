package datagram

import (
	"cmp"
	"maps"
	"slices"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/digest"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/originkeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/gen/edgev1"
)

func encodeAssignments(d digest.Digest, message *edgev1.Digest) {
	origins := slices.SortedFunc(maps.Keys(d.AssignedExceptions), func(a, b originkeeper.Origin) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.SoftwareVersion, b.SoftwareVersion))
	})
	for _, origin := range origins {
		message.AssignedExceptions = append(message.AssignedExceptions, &edgev1.AssignedExceptions{
			Service: origin.Service, SoftwareVersion: origin.SoftwareVersion, Streams: slices.Sorted(slices.Values(d.AssignedExceptions[origin])),
		})
	}
	for _, assignment := range d.Assignments {
		message.Assignments = append(message.Assignments, &edgev1.Assignment{Service: assignment.Service, Era: assignment.Era, Revision: assignment.Revision, Value: assignment.Value})
	}
}

func decodeAssignments(d *digest.Digest, message *edgev1.Digest) {
	if len(message.GetAssignedExceptions()) > 0 {
		d.AssignedExceptions = map[originkeeper.Origin][]uint64{}
	}
	for _, exceptions := range message.GetAssignedExceptions() {
		origin := originkeeper.Origin{Service: exceptions.GetService(), SoftwareVersion: exceptions.GetSoftwareVersion()}
		d.AssignedExceptions[origin] = append(d.AssignedExceptions[origin], exceptions.GetStreams()...)
	}
	for _, assignment := range message.GetAssignments() {
		d.Assignments = append(d.Assignments, digest.Assignment{Service: assignment.GetService(), Era: assignment.GetEra(), Revision: assignment.GetRevision(), Value: assignment.GetValue()})
	}
}
