// Package service simulates a plain service, such as a register of orders or survey
// filings: it records each POST, counts duplicates, and can commit a request and then
// drop the connection.
//
// # Usage
//
//	server := service.New()
//	http.Serve(listener, server.Handler())
package service

import (
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/hyssopdoor/hyssopdoor/internal/standin/jsonhttp"
)

// Faults are the injected faults. The counts apply to the next POSTs and decrease by one
// with each; DelayMillis stays set.
type Faults struct {
	// CommitThenDrop is the number of POSTs that are recorded without a response.
	CommitThenDrop int `json:"commitThenDrop"`
	// DropBeforeCommit is the number of POSTs whose connection is dropped before they are
	// recorded.
	DropBeforeCommit int `json:"dropBefore"`
	// ServerErrors is the number of POSTs that get status 500 without being recorded.
	ServerErrors int `json:"fail"`
	// DelayMillis delays the response to every POST, after it has been recorded.
	DelayMillis int64 `json:"delayMillis"`
}

// Records are the bodies that the service has recorded, and its counters.
type Records struct {
	// Total counts recorded bodies, Duplicates those that had been recorded before.
	Total      int `json:"total"`
	Duplicates int `json:"doubles"`
	// Bodies is the number of times that each body was recorded.
	Bodies map[string]int `json:"bodies"`
	// WithAuthorization counts requests with an Authorization header.
	WithAuthorization int `json:"sawAuthorization"`
}

// maxBodyBytes is the maximum size of a recorded body.
const maxBodyBytes = 1 << 20

// Server is a simulated service. It is safe for concurrent use.
type Server struct {
	mu      sync.Mutex
	records Records
	faults  Faults
}

// New returns a service without records.
func New() *Server {
	return &Server{records: Records{Bodies: map[string]int{}}}
}

// Handler returns the HTTP interface: POST records, GET reads.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /faults", s.setFaults)
	mux.HandleFunc("GET /records", s.showRecords)
	mux.HandleFunc("POST /", s.record)
	mux.HandleFunc("GET /", s.read)
	return mux
}

// Records returns a copy of the records.
func (s *Server) Records() Records {
	s.mu.Lock()
	defer s.mu.Unlock()
	copied := s.records
	copied.Bodies = map[string]int{}
	for body, count := range s.records.Bodies {
		copied.Bodies[body] = count
	}
	return copied
}

// SetFaults sets the faults for the next requests.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

func (s *Server) record(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.countAuthorization(r)
	faults := s.consumeFaults()
	if faults.DropBeforeCommit > 0 {
		panic(http.ErrAbortHandler)
	}
	if faults.ServerErrors > 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	number := s.commit(string(body))
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	if faults.CommitThenDrop > 0 {
		panic(http.ErrAbortHandler)
	}
	jsonhttp.WriteJSON(w, http.StatusCreated, map[string]string{"number": strconv.Itoa(number)})
}

func (s *Server) consumeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	faults := s.faults
	s.faults.DropBeforeCommit = max(0, s.faults.DropBeforeCommit-1)
	s.faults.ServerErrors = max(0, s.faults.ServerErrors-1)
	s.faults.CommitThenDrop = max(0, s.faults.CommitThenDrop-1)
	return faults
}

func (s *Server) commit(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.Total++
	if s.records.Bodies[body] > 0 {
		s.records.Duplicates++
	}
	s.records.Bodies[body]++
	return s.records.Total
}

func (s *Server) countAuthorization(r *http.Request) {
	if r.Header.Get("Authorization") == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.WithAuthorization++
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	s.countAuthorization(r)
	jsonhttp.WriteJSON(w, http.StatusOK, map[string]string{"path": r.URL.Path, "stock": "12"})
}

func (s *Server) showRecords(w http.ResponseWriter, _ *http.Request) {
	jsonhttp.WriteJSON(w, http.StatusOK, s.Records())
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if jsonhttp.ReadJSON(w, r, &faults) {
		s.SetFaults(faults)
	}
}
