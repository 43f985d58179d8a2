package forwarder

import (
	"github.com/hyssopdoor/hyssopdoor/internal/decision/exposurekeeper"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
)

// SoftwareOrdered is an operator's order to move a service to a software version, as it is
// in the store. SoftwareOrderRemoved reports that the store has none for the service.
type (
	SoftwareOrdered struct {
		Order exposurekeeper.Order
		// Revision is that of the object in the Era of the store.
		Era      int64
		Revision int64
		// Final is the verdict in the object's status; Continue if there is none.
		Final exposurekeeper.Verdict
	}
	SoftwareOrderRemoved struct{ Service string }
)

// VerdictWritten is the store's response to a WriteVerdict.
type VerdictWritten struct {
	Service  string
	Revision int64
	Verdict  exposurekeeper.Verdict
	Response objectstore.Response
}

func (SoftwareOrdered) isEvent()      {}
func (SoftwareOrderRemoved) isEvent() {}
func (VerdictWritten) isEvent()       {}
