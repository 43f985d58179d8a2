package objectstore

// Outcome is the result of a call to the store.
type Outcome int

// The outcomes.
const (
	// Done means that the call succeeded.
	Done Outcome = iota + 1
	// NotFound means that the object does not exist.
	NotFound
	// Conflict means that the object has another version than expected; the response
	// contains it.
	Conflict
	// Refused means that the call certainly had no effect.
	Refused
	// Unknown means that no usable response was received. The call may have had an
	// effect.
	Unknown
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Done:
		return "done"
	case NotFound:
		return "absent"
	case Conflict:
		return "conflict"
	case Refused:
		return "refused"
	default:
		return "unknown"
	}
}

// Response is the store's response to one call.
type Response struct {
	Outcome Outcome
	// RefusedByStore is set if the store itself refused the call, because of its limits.
	RefusedByStore bool
	// Version and Value are those of the object after the call. Era is the era of the
	// store in which the version holds.
	Era     int64
	Version int64
	Value   []byte
	// Instances are the changed entries, for ListInstances.
	Instances []Instance
	// Objects are the listed objects, for ListObjects.
	Objects []Object
}

// Failed reports whether the call was refused or its outcome is unknown.
func (r Response) Failed() bool {
	return r.Outcome == Refused || r.Outcome == Unknown
}

// Object is a named object in a list.
type Object struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}
