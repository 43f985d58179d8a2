// Package objectstore has the typed calls to a store of versioned objects and
// to its list of instances, and their answers. The shell makes the calls;
// decisions only see these values.
//
// # Usage
//
//	op := objectstore.Put{Name: "calls/x", Value: value, IfVersion: objectstore.IfAbsent}
//	switch answer.Outcome {
//	case objectstore.Done: ...
//	}
package objectstore

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
