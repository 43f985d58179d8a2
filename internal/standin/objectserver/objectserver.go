// Package objectserver simulates the platform over HTTP: versioned objects with
// conditional updates and watches, an instance list that shows changes late, call
// limits and fault injection.
//
// # Usage
//
//	server := objectserver.New(objectserver.Defaults())
//	http.Serve(listener, server.Handler())
package objectserver

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/decision/objectstore"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/jsonhttp"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/store"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Options configure the simulated platform.
type Options struct {
	// WritesPerSecond and ReadsPerSecond limit the calls of each kind.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// ListLag is the delay after which the instance list shows a change.
	ListLag time.Duration
	// WatchTimeout is the time after which a watch without a change returns.
	WatchTimeout time.Duration
}

// maxValueBytes is the maximum size of an object's value.
const maxValueBytes = 1 << 20

// Defaults returns the limits and delays of the platform's specification.
func Defaults() Options {
	return Options{WritesPerSecond: 500, ReadsPerSecond: 2000, ListLag: 200 * time.Millisecond, WatchTimeout: 4 * time.Second}
}

// Server is a simulated platform. It is safe for concurrent use.
type Server struct {
	options Options

	mu           sync.Mutex
	objects      *store.Store
	changed      chan struct{} // changed is closed and replaced at each change.
	faults       Faults
	counts       Counts
	writeLimiter rateLimiter
	readLimiter  rateLimiter
}

// Faults are the injected faults.
type Faults struct {
	// Down closes the connection of every call without a response.
	Down bool `json:"down"`
	// DelayMillis delays every response.
	DelayMillis int64 `json:"slowMillis"`
	// LostResponses is the number of next writes that take effect without a response.
	LostResponses int `json:"loseAnswers"`
}

// Counts are the numbers of calls so far. Refused counts the calls beyond the limits.
type Counts struct {
	Writes  int64 `json:"writes"`
	Reads   int64 `json:"reads"`
	Refused int64 `json:"refused"`
}

// New returns an empty Server.
func New(options Options) *Server {
	return &Server{
		options:      options,
		objects:      store.New(),
		changed:      make(chan struct{}),
		writeLimiter: newRateLimiter(options.WritesPerSecond),
		readLimiter:  newRateLimiter(options.ReadsPerSecond),
	}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", s.withLimits(&s.readLimiter, s.get))
	mux.HandleFunc("PUT /objects/{name...}", s.withLimits(&s.writeLimiter, s.put))
	mux.HandleFunc("GET /objects", s.withLimits(&s.readLimiter, s.listObjects))
	mux.HandleFunc("GET /watch", s.withLimits(&s.readLimiter, s.watch))
	mux.HandleFunc("GET /instances", s.withLimits(&s.readLimiter, s.listInstances))
	mux.HandleFunc("POST /instances", s.withLimits(&s.writeLimiter, s.register))
	mux.HandleFunc("POST /faults", s.setFaults)
	mux.HandleFunc("GET /counts", s.showCounts)
	return mux
}

// withLimits counts the call, rejects it beyond the rate limit, and applies the faults
// that are common to all calls.
func (s *Server) withLimits(limiter *rateLimiter, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		allowed := limiter.allow(time.Now())
		s.countCall(limiter, allowed)
		s.mu.Unlock()
		if faults.Down {
			closeConnection(w)
			return
		}
		if !allowed {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
		next(w, r)
	}
}

func (s *Server) countCall(limiter *rateLimiter, allowed bool) {
	switch {
	case !allowed:
		s.counts.Refused++
	case limiter == &s.writeLimiter:
		s.counts.Writes++
	default:
		s.counts.Reads++
	}
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	response := s.objects.Get(objectstore.Get{Name: r.PathValue("name")})
	s.mu.Unlock()
	writeResponse(w, response)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil {
		w.WriteHeader(http.StatusRequestEntityTooLarge)
		return
	}
	ifVersion, err := strconv.ParseInt(r.URL.Query().Get("ifVersion"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	response, loseResponse := s.write(objectstore.Put{Name: r.PathValue("name"), Value: value, IfVersion: ifVersion})
	if loseResponse {
		closeConnection(w)
		return
	}
	writeResponse(w, response)
}

func (s *Server) write(op objectstore.Put) (response objectstore.Response, loseResponse bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LostResponses > 0 {
		s.faults.LostResponses--
		loseResponse = true
	}
	response = s.objects.Put(op)
	if response.Outcome == objectstore.Done {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return response, loseResponse
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	response := s.objects.ListObjects(objectstore.ListObjects{Prefix: r.URL.Query().Get("prefix"), After: r.URL.Query().Get("after")})
	s.mu.Unlock()
	writeResponse(w, response)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	op := objectstore.Watch{Name: r.URL.Query().Get("name"), Since: since}
	timeout := time.After(s.options.WatchTimeout)
	for {
		s.mu.Lock()
		response := s.objects.Watch(op)
		changed := s.changed
		s.mu.Unlock()
		if response.Outcome == objectstore.Done {
			writeResponse(w, response)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeResponse(w, response)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var instance objectstore.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil || instance.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.objects.Register(clock.FromTime(time.Now()), instance)
	s.mu.Unlock()
	writeResponse(w, objectstore.Response{Outcome: objectstore.Done})
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	response := s.objects.ListInstances(clock.FromTime(time.Now().Add(-s.options.ListLag)), objectstore.ListInstances{Since: since})
	s.mu.Unlock()
	writeResponse(w, response)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !jsonhttp.ReadJSON(w, r, &faults) {
		return
	}
	s.mu.Lock()
	s.faults = faults
	s.mu.Unlock()
}

func (s *Server) showCounts(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	counts := s.counts
	s.mu.Unlock()
	jsonhttp.WriteJSON(w, http.StatusOK, counts)
}

// statuses maps outcomes to HTTP statuses.
var statuses = map[objectstore.Outcome]int{
	objectstore.Done:     http.StatusOK,
	objectstore.NotFound: http.StatusNotFound,
	objectstore.Conflict: http.StatusConflict,
}

func writeResponse(w http.ResponseWriter, response objectstore.Response) {
	jsonhttp.WriteJSON(w, statuses[response.Outcome], objectstore.ResponseBody{
		Version:   response.Version,
		Value:     response.Value,
		Instances: response.Instances,
		Objects:   response.Objects,
	})
}
