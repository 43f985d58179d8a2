// Package objectserver is a small stand-in for the platform: versioned objects
// with conditional updates and watches, an instance list that lags, call limits
// and faults on demand.
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
	"github.com/hyssopdoor/hyssopdoor/internal/standin/replier"
	"github.com/hyssopdoor/hyssopdoor/internal/standin/store"
	"github.com/hyssopdoor/hyssopdoor/pkg/clock"
)

// Options are the properties of the stand-in.
type Options struct {
	// WritesPerSecond and ReadsPerSecond bound the calls.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// ListLag is how late the instance list shows a change.
	ListLag time.Duration
	// WatchWait is the longest wait of a watch.
	WatchWait time.Duration
}

// maxValueBytes is the longest value of an object.
const maxValueBytes = 1 << 20

// Defaults returns the brief's figures.
func Defaults() Options {
	return Options{WritesPerSecond: 500, ReadsPerSecond: 2000, ListLag: 200 * time.Millisecond, WatchWait: 4 * time.Second}
}

// Server is the stand-in's state. It is safe for concurrent use.
type Server struct {
	options Options

	mu      sync.Mutex
	objects *store.Store
	changed chan struct{} // changed is closed and made anew at each change.
	faults  Faults
	counts  Counts
	writes  quota
	reads   quota
}

// Faults are the faults on demand.
type Faults struct {
	// Down refuses every call without an answer.
	Down bool `json:"down"`
	// SlowMillis delays each answer.
	SlowMillis int64 `json:"slowMillis"`
	// LoseAnswers is how many of the next writes take effect without an answer.
	LoseAnswers int `json:"loseAnswers"`
}

// Counts are the calls so far.
type Counts struct {
	Writes  int64 `json:"writes"`
	Reads   int64 `json:"reads"`
	Refused int64 `json:"refused"`
}

// New returns an empty Server.
func New(options Options) *Server {
	return &Server{
		options: options,
		objects: store.New(),
		changed: make(chan struct{}),
		writes:  newQuota(options.WritesPerSecond),
		reads:   newQuota(options.ReadsPerSecond),
	}
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /objects/{name...}", s.limited(&s.reads, s.get))
	mux.HandleFunc("PUT /objects/{name...}", s.limited(&s.writes, s.put))
	mux.HandleFunc("GET /objects", s.limited(&s.reads, s.listObjects))
	mux.HandleFunc("GET /watch", s.limited(&s.reads, s.watch))
	mux.HandleFunc("GET /instances", s.limited(&s.reads, s.listInstances))
	mux.HandleFunc("POST /instances", s.limited(&s.writes, s.register))
	mux.HandleFunc("POST /faults", s.setFaults)
	mux.HandleFunc("GET /counts", s.showCounts)
	return mux
}

// limited counts the call, refuses it beyond the quota, and applies the faults
// that are the same for all calls.
func (s *Server) limited(quota *quota, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		allowed := quota.take(time.Now())
		s.count(quota, allowed)
		s.mu.Unlock()
		if faults.Down {
			drop(w)
			return
		}
		if !allowed {
			w.WriteHeader(http.StatusTooManyRequests)
			return
		}
		time.Sleep(time.Duration(faults.SlowMillis) * time.Millisecond)
		next(w, r)
	}
}

func (s *Server) count(quota *quota, allowed bool) {
	switch {
	case !allowed:
		s.counts.Refused++
	case quota == &s.writes:
		s.counts.Writes++
	default:
		s.counts.Reads++
	}
}

// drop ends the connection without an answer.
func drop(w http.ResponseWriter) {
	connection, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = connection.Close()
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	answer := s.objects.Get(objectstore.Get{Name: r.PathValue("name")})
	s.mu.Unlock()
	replyAnswer(w, answer)
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
	answer, lose := s.write(objectstore.Put{Name: r.PathValue("name"), Value: value, IfVersion: ifVersion})
	if lose {
		drop(w)
		return
	}
	replyAnswer(w, answer)
}

func (s *Server) write(op objectstore.Put) (answer objectstore.Response, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		lose = true
	}
	answer = s.objects.Put(op)
	if answer.Outcome == objectstore.Done {
		close(s.changed)
		s.changed = make(chan struct{})
	}
	return answer, lose
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	answer := s.objects.ListObjects(objectstore.ListObjects{Prefix: r.URL.Query().Get("prefix"), After: r.URL.Query().Get("after")})
	s.mu.Unlock()
	replyAnswer(w, answer)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	op := objectstore.Watch{Name: r.URL.Query().Get("name"), Since: since}
	end := time.After(s.options.WatchWait)
	for {
		s.mu.Lock()
		answer := s.objects.Watch(op)
		changed := s.changed
		s.mu.Unlock()
		if answer.Outcome == objectstore.Done {
			replyAnswer(w, answer)
			return
		}
		select {
		case <-changed:
		case <-end:
			replyAnswer(w, answer)
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
	replyAnswer(w, objectstore.Response{Outcome: objectstore.Done})
}

func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	answer := s.objects.ListInstances(clock.FromTime(time.Now().Add(-s.options.ListLag)), objectstore.ListInstances{Since: since})
	s.mu.Unlock()
	replyAnswer(w, answer)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if !replier.Read(w, r, &faults) {
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
	replier.Write(w, http.StatusOK, counts)
}

// statuses are the HTTP statuses of the outcomes.
var statuses = map[objectstore.Outcome]int{
	objectstore.Done:     http.StatusOK,
	objectstore.NotFound: http.StatusNotFound,
	objectstore.Conflict: http.StatusConflict,
}

func replyAnswer(w http.ResponseWriter, answer objectstore.Response) {
	replier.Write(w, statuses[answer.Outcome], objectstore.ResponseBody{
		Version:   answer.Version,
		Value:     answer.Value,
		Instances: answer.Instances,
		Objects:   answer.Objects,
	})
}
