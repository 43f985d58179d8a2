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
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/platform"
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

// pageSize is how many objects one list has.
const pageSize = 200

// Defaults returns the brief's figures.
func Defaults() Options {
	return Options{WritesPerSecond: 500, ReadsPerSecond: 2000, ListLag: 200 * time.Millisecond, WatchWait: 4 * time.Second}
}

// Server is the stand-in's state. It is safe for concurrent use.
type Server struct {
	options Options

	mu       sync.Mutex
	objects  map[string]platform.Object
	revision int64
	changed  chan struct{} // changed is closed and made anew at each change.
	list     []listed
	faults   Faults
	counts   Counts
	writes   quota
	reads    quota
}

// listed is a change of the instance list and when it happened.
type listed struct {
	instance platform.Instance
	at       time.Time
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
		objects: map[string]platform.Object{},
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
	object, ok := s.objects[r.PathValue("name")]
	s.mu.Unlock()
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, platform.Wire{Version: object.Version, Value: object.Value})
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
	status, wire, lose := s.write(r.PathValue("name"), value, ifVersion)
	if lose {
		drop(w)
		return
	}
	reply(w, status, wire)
}

func (s *Server) write(name string, value []byte, ifVersion int64) (status int, wire platform.Wire, lose bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		lose = true
	}
	known := s.objects[name]
	if known.Version != ifVersion {
		return http.StatusConflict, platform.Wire{Version: known.Version, Value: known.Value}, lose
	}
	s.revision++
	s.objects[name] = platform.Object{Name: name, Version: s.revision, Value: value}
	s.notify()
	return http.StatusOK, platform.Wire{Version: s.revision}, lose
}

func (s *Server) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) listObjects(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var found []platform.Object
	for name, object := range s.objects {
		if strings.HasPrefix(name, prefix) && name > after {
			found = append(found, object)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(found, func(a, b platform.Object) int { return strings.Compare(a.Name, b.Name) })
	reply(w, http.StatusOK, platform.Wire{Objects: found[:min(len(found), pageSize)]})
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	name := r.URL.Query().Get("name")
	since, err := strconv.ParseInt(r.URL.Query().Get("since"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	end := time.After(s.options.WatchWait)
	for {
		s.mu.Lock()
		object := s.objects[name]
		changed := s.changed
		s.mu.Unlock()
		if object.Version > since {
			reply(w, http.StatusOK, platform.Wire{Version: object.Version, Value: object.Value})
			return
		}
		select {
		case <-changed:
		case <-end:
			w.WriteHeader(http.StatusNotFound)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var instance platform.Instance
	if err := json.NewDecoder(r.Body).Decode(&instance); err != nil || instance.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.list = append(s.list, listed{instance: instance, at: time.Now()})
	s.mu.Unlock()
	reply(w, http.StatusOK, platform.Wire{})
}

// listInstances answers with the changes after since that the lag lets show.
// The list's revision is the number of changes shown.
func (s *Server) listInstances(w http.ResponseWriter, r *http.Request) {
	since, err := strconv.Atoi(r.URL.Query().Get("since"))
	if err != nil || since < 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	shown := slices.IndexFunc(s.list, func(l listed) bool { return time.Since(l.at) < s.options.ListLag })
	if shown < 0 {
		shown = len(s.list)
	}
	wire := platform.Wire{Version: int64(shown), Instances: latest(s.list[min(since, shown):shown])}
	s.mu.Unlock()
	reply(w, http.StatusOK, wire)
}

// latest returns the last entry of each instance, in the order of the list.
func latest(changes []listed) []platform.Instance {
	var instances []platform.Instance
	seen := map[string]bool{}
	for _, change := range slices.Backward(changes) {
		if !seen[change.instance.Name] {
			seen[change.instance.Name] = true
			instances = append(instances, change.instance)
		}
	}
	slices.Reverse(instances)
	return instances
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		w.WriteHeader(http.StatusBadRequest)
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
	reply(w, http.StatusOK, counts)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
