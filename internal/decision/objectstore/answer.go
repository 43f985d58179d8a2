package objectstore

// Outcome is how a call to the platform ended.
type Outcome int

// The outcomes.
const (
	// Done means that the call took effect.
	Done Outcome = iota + 1
	// NotFound means that no such object exists.
	NotFound
	// Conflict means that the object has another version; the answer has it.
	Conflict
	// Refused means that the call has certainly not taken effect.
	Refused
	// Unknown means that no answer came: the call may have taken effect.
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

// Response is the platform's answer to one call.
type Response struct {
	Outcome Outcome
	// RefusedByStore tells that the platform itself refused the call, for its limits.
	RefusedByStore bool
	// Version and Value are the object's after the call.
	Version int64
	Value   []byte
	// Instances are the changed entries that ListInstances read.
	Instances []Instance
	// Objects are what ListObjects read.
	Objects []Object
}

// Failed reports whether the platform gave no usable answer.
func (a Response) Failed() bool {
	return a.Outcome == Refused || a.Outcome == Unknown
}

// Object is one named object of a list.
type Object struct {
	Name    string `json:"name"`
	Version int64  `json:"version"`
	Value   []byte `json:"value"`
}
