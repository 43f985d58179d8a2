package forwarder_test

import (
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/forwarder"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

var brittleSeeds = flag.Int("brittle-seeds", 0, "number of seeds of TestBrittleServersStayUp for each size of the cluster")

// fewBrittleSeeds are the numbers of seeds without the flag.
var fewBrittleSeeds = map[string]int{"7 instances": 4, "67 instances": 1}

// room is the capacity of a simulated server, with its rejections and crashes.
type room struct {
	// slots is the number of requests that it runs at once, and queue that of those it lets wait.
	slots, queue int
	active       int
	// tolerance is the number of rejections a second that it bears while it is brittle.
	// It crashes from stableWindow after it first said so.
	brittle, crashes bool
	tolerance        int
	// rejectedAt are the times of the latest rejections; rejected, crashCount and busyTime are totals, the
	// last one of the time of its slots that was used.
	rejectedAt []clock.Millis
	rejected   int
	crashCount int
	busyTime   clock.Millis
	// generation grows with each crash.
	generation int
}

// roomStart is the time after a crash at which a server is back.
const roomStart = 3 * clock.Second

// limitRoom gives all servers of a service a capacity. ListedSlots are the slots in their entries.
func (c *cluster) limitRoom(service string, slots, queue, listedSlots int) {
	for _, id := range c.serverIDs() {
		if s := c.servers[id]; s.entry.Service == service {
			s.room = &room{slots: slots, queue: queue}
			s.entry.Slots = listedSlots
		}
	}
}

// makeBrittle lets all servers of a service be brittle. Their room to wait shrinks stableWindow
// later, without a notice.
func (c *cluster) makeBrittle(service string, tolerance, queue int) {
	for _, id := range c.serverIDs() {
		if s := c.servers[id]; s.entry.Service == service {
			s.room.brittle, s.room.tolerance = true, tolerance
			c.after(stableWindow, func() { s.room.queue, s.room.crashes = queue, true })
		}
	}
}

// enterRoom takes a place at the server. It reports false if there is none, and crashes a brittle
// server that has rejected too many.
func (c *cluster) enterRoom(s *server) bool {
	r := s.room
	if r.active < r.slots+r.queue {
		r.active++
		return true
	}
	r.rejected++
	recent := []clock.Millis{c.now}
	for _, at := range r.rejectedAt {
		if c.now.Since(at) < clock.Second {
			recent = append(recent, at)
		}
	}
	r.rejectedAt = recent
	if r.crashes && len(recent) > r.tolerance {
		c.crashRoom(s)
	}
	return false
}

// crashRoom ends a server with all that runs there. It is back later, with another start.
func (c *cluster) crashRoom(s *server) {
	s.down = true
	s.room.crashCount++
	s.room.generation++
	s.room.active, s.room.rejectedAt = 0, nil
	c.after(roomStart, func() {
		s.down, s.acceptedOrders = false, 0
		s.entry.StartedAt++
		s.entry.Revision++
		for i := range c.instances {
			c.step(i, forwarder.ServerChanged{Entry: s.entry})
		}
	})
}

// leaveRoom frees a place that was taken in the given generation. It reports false if the server
// has crashed since.
func (c *cluster) leaveRoom(s *server, generation int, duration clock.Millis) bool {
	if s.room.generation != generation {
		return false
	}
	s.room.active--
	s.room.busyTime += duration
	return true
}

// nameBrittleness delivers what the head of a server's response says of its brittleness.
func (c *cluster) nameBrittleness(i int, s *server, startedAt int64) {
	if s.room != nil && s.room.brittle {
		c.step(i, forwarder.ServerNotice{Server: s.entry.ID, StartedAt: startedAt, Brittle: forwarder.Brittleness{Known: true, Rejections: s.room.tolerance}})
	}
}

// TestBrittleServersStayUp lets all engines crash if they have to reject more than a few requests
// within a second, at loads below and above what they take. In one such time, they may crash twice
// and a tenth of their number.
func TestBrittleServersStayUp(t *testing.T) {
	t.Parallel()
	loads := map[string]float64{"below capacity": 0.6, "near capacity": 1, "above capacity": 1.6}
	for size, scale := range scales {
		for seed := range uint64(max(*brittleSeeds, fewBrittleSeeds[size])) {
			for load, factor := range loads {
				for _, tolerance := range []int{2, 5} {
					listedSlots := 64
					if seed%2 == 0 {
						listedSlots = 8
					}
					if raceDetector && seed > 1 {
						continue
					}
					if scale.instances > 7 && *brittleSeeds == 0 && (raceDetector || tolerance > 2 || load != "near capacity") {
						continue
					}
					t.Run(fmt.Sprintf("%s, seed %d, %s, %d rejections", size, seed, load, tolerance), func(t *testing.T) {
						const (
							slots    = 8
							duration = 400 * clock.Millisecond
						)
						c := newClusterIn(t, seed, scale.instances, scale.domains)
						c.streamDuration = duration
						c.limitRoom("engines", slots, 6, listedSlots)
						state := newDesiredState(2)
						team := state.Teams["press"]
						team.Rate, team.Burst = 100*team.Rate, 100*team.Burst
						state.Teams["press"] = team
						for i := range c.instances {
							c.step(i, forwarder.StateRead{State: state, ConfirmedAt: c.now})
							c.listServers(i)
						}
						engines := max(6, scale.instances/2)
						perStep := factor * float64(engines*slots) * 20 / float64(duration)
						send := func(steps int) {
							for range steps {
								for range c.arrivals(2 * perStep) {
									c.sendRequest(c.random.IntN(len(c.instances)), "once")
								}
								c.run(20)
							}
						}
						send(150)
						c.makeBrittle("engines", tolerance, 1)
						for _, s := range c.servers {
							if s.room != nil {
								s.room.crashCount, s.room.busyTime, s.room.rejected = 0, 0, 0
							}
						}
						send(750)
						crashes, rejected, busy := 0, 0, clock.Millis(0)
						for _, s := range c.servers {
							if s.room != nil {
								crashes, rejected, busy = crashes+s.room.crashCount, rejected+s.room.rejected, busy+s.room.busyTime
							}
						}
						used := float64(busy) / float64(engines*slots*15_000)
						t.Logf("%d crashes of %d engines, %d rejections, %.2f of the room used, %.3f served", crashes, engines, rejected, used, c.servedFraction())
						c.run(5 * clock.Second)
						require.LessOrEqual(t, float64(crashes), 2+float64(engines)/10)
					})
				}
			}
		}
	}
}
