package forwarder_test

import (
	"maps"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/decision/storeposition"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// callAssignments performs a call to the store of assignments, or fails if the instance is
// cut off from it.
func (c *cluster) callAssignments(i int, serve func() objectstore.Response, receive func(objectstore.Response)) {
	if c.storeCutOff[i] {
		c.after(50, func() { receive(objectstore.Response{Outcome: objectstore.Unknown}) })
		return
	}
	instance := c.instances[i]
	c.after(4, func() {
		response := serve()
		c.after(2, func() {
			if c.instances[i] == instance {
				receive(response)
			}
		})
	})
}

// assignmentEra returns the era of the store; 0 for a cluster without one.
func (c *cluster) assignmentEra() int64 {
	if c.objects == nil {
		return 0
	}
	return c.objects.position.Era
}

func (c *cluster) readAssignment(i int, service string) {
	serve := func() objectstore.Response {
		stored, found := c.assignments[service]
		if !found {
			return objectstore.Response{Outcome: objectstore.NotFound, Era: c.assignmentEra()}
		}
		return objectstore.Response{Outcome: objectstore.Done, Era: c.assignmentEra(), Version: stored.Position.Revision, Value: stored.Record.Encode()}
	}
	c.callAssignments(i, serve, func(response objectstore.Response) {
		c.step(i, forwarder.AssignmentRead{Service: service, Response: response})
	})
}

func (c *cluster) writeAssignment(i int, write forwarder.WriteAssignment) {
	serve := func() objectstore.Response {
		if c.assignments == nil {
			return objectstore.Response{Outcome: objectstore.Refused}
		}
		if stored := c.assignments[write.Service]; stored.Position.Revision != write.IfRevision {
			return objectstore.Response{Outcome: objectstore.Conflict, Era: c.assignmentEra(), Version: stored.Position.Revision, Value: stored.Record.Encode()}
		}
		c.assignmentRevision++
		c.assignmentWrites++
		c.assignments[write.Service] = forwarder.Assignment{Record: write.Record, Position: storeposition.Position{Era: c.assignmentEra(), Revision: c.assignmentRevision}}
		for other, instance := range c.instances {
			c.after(clock.Millis(c.faultRandom.IntN(400)), func() {
				if c.instances[other] == instance && !c.storeCutOff[other] {
					c.listAssignments(other)
				}
			})
		}
		return objectstore.Response{Outcome: objectstore.Done, Era: c.assignmentEra(), Version: c.assignmentRevision}
	}
	c.callAssignments(i, serve, func(response objectstore.Response) {
		c.step(i, forwarder.AssignmentWritten{Service: write.Service, Record: write.Record, Response: response})
	})
}

// listAssignments delivers the assignments in the store.
func (c *cluster) listAssignments(i int) {
	if !c.storeCutOff[i] {
		c.step(i, forwarder.AssignmentsListed{Assignments: maps.Clone(c.assignments), Position: storeposition.Position{Era: c.assignmentEra(), Revision: c.assignmentRevision}})
	}
}
