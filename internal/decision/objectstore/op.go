// Package objectstore defines the calls to a store of versioned objects and to its
// list of instances, and their responses, as values. It performs no I/O: decisions
// return calls and receive responses, and the runtime performs the calls.
//
// # Usage
//
//	op := objectstore.Put{Name: "calls/x", Value: value, IfVersion: objectstore.IfAbsent}
//	switch response.Outcome {
//	case objectstore.Done: ...
//	}
package objectstore

// IfAbsent is the expected version of a Put that creates the object.
const IfAbsent int64 = 0

// Op is a call to the store.
type Op interface{ isOp() }

// Get reads one object.
type Get struct{ Name string }

// Put writes one object if its current version is IfVersion.
type Put struct {
	Name      string
	Value     []byte
	IfVersion int64
}

// Watch waits until the object's version is greater than Since, but at most for the
// store's longest wait.
type Watch struct {
	Name  string
	Since int64
}

// ListInstances reads the changes of the instance list after revision Since.
type ListInstances struct{ Since int64 }

// ListObjects reads the objects whose names begin with Prefix and sort after After, in
// the order of their names.
type ListObjects struct {
	Prefix string
	After  string
}

func (Get) isOp()           {}
func (Put) isOp()           {}
func (Watch) isOp()         {}
func (ListInstances) isOp() {}
func (ListObjects) isOp()   {}
