// Package platform has the typed calls to the platform's object API and its
// instance list, and their answers. The calls are made by package caller of
// the shell; decisions only see these values.
//
// # Usage
//
//	op := platform.Put{Name: "calls/x", Value: value, IfVersion: platform.IfAbsent}
//	switch answer.Outcome {
//	case platform.Done: ...
//	}
package platform

// IfAbsent as the expected version of a Put means that no object exists.
const IfAbsent int64 = 0

// Op is one call to the platform.
type Op interface{ isOp() }

// Get reads one object.
type Get struct{ Name string }

// Put writes one object on condition that its version is IfVersion.
type Put struct {
	Name      string
	Value     []byte
	IfVersion int64
}

// Watch waits until the object's version is greater than Since, or for the
// platform's longest wait.
type Watch struct {
	Name  string
	Since int64
}

// ListInstances reads the changes of the instance list after Since.
type ListInstances struct{ Since int64 }

// ListObjects reads the objects whose names begin with Prefix, by name, after
// the name After.
type ListObjects struct {
	Prefix string
	After  string
}

func (Get) isOp()           {}
func (Put) isOp()           {}
func (Watch) isOp()         {}
func (ListInstances) isOp() {}
func (ListObjects) isOp()   {}
