package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/versionassigner"
)

// AssignmentsListed has the assignments of streams in the store, by service, as they are at
// the position.
type AssignmentsListed struct {
	Assignments map[string]Assignment
	Position    storeposition.Position
}

// AssignmentRead and AssignmentWritten are the store's responses to a ReadAssignment and a
// WriteAssignment.
type (
	AssignmentRead struct {
		Service  string
		Response objectstore.Response
	}
	AssignmentWritten struct {
		Service  string
		Record   versionassigner.Record
		Response objectstore.Response
	}
)

// ReadAssignment reads the assignment of a service's streams from the store, not a copy.
type ReadAssignment struct{ Service string }

// WriteAssignment writes the assignment if its revision is IfRevision.
type WriteAssignment struct {
	Service    string
	Record     versionassigner.Record
	IfRevision int64
}

func (AssignmentsListed) isEvent() {}
func (AssignmentRead) isEvent()    {}
func (AssignmentWritten) isEvent() {}

func (ReadAssignment) isAction()  {}
func (WriteAssignment) isAction() {}
