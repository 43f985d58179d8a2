// Package service is a small stand-in for a plain service, such as a register
// of orders or survey filings: it records each POST, counts doubled ones, and
// may commit and then drop the connection.
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

	"github.com/hyssopdoor/hyssopdoor/internal/standin/replier"
)

// Faults are the faults on demand, each for the next POSTs.
type Faults struct {
	// CommitThenDrop is how many are recorded without an answer.
	CommitThenDrop int `json:"commitThenDrop"`
	// DropBefore is how many end without being recorded or answered.
	DropBefore int `json:"dropBefore"`
	// Fail is how many get the status 500 without being recorded.
	Fail int `json:"fail"`
	// DelayMillis delays every answer.
	DelayMillis int64 `json:"delayMillis"`
}

// Records are what the service has recorded.
type Records struct {
	// Total counts recorded bodies, Doubles those recorded before.
	Total   int `json:"total"`
	Doubles int `json:"doubles"`
	// Bodies counts how often each was recorded.
	Bodies map[string]int `json:"bodies"`
	// SawAuthorization counts requests that carried a key.
	SawAuthorization int `json:"sawAuthorization"`
}

// maxBodyBytes bounds a recorded body.
const maxBodyBytes = 1 << 20

// Server is the stand-in's state. It is safe for concurrent use.
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

// Records returns what was recorded.
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
	s.noteKey(r)
	faults := s.takeFaults()
	if faults.DropBefore > 0 {
		panic(http.ErrAbortHandler)
	}
	if faults.Fail > 0 {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	number := s.commit(string(body))
	time.Sleep(time.Duration(faults.DelayMillis) * time.Millisecond)
	if faults.CommitThenDrop > 0 {
		panic(http.ErrAbortHandler)
	}
	replier.Write(w, http.StatusCreated, map[string]string{"number": strconv.Itoa(number)})
}

func (s *Server) takeFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	taken := s.faults
	s.faults.DropBefore = max(0, s.faults.DropBefore-1)
	s.faults.Fail = max(0, s.faults.Fail-1)
	s.faults.CommitThenDrop = max(0, s.faults.CommitThenDrop-1)
	return taken
}

func (s *Server) commit(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.Total++
	if s.records.Bodies[body] > 0 {
		s.records.Doubles++
	}
	s.records.Bodies[body]++
	return s.records.Total
}

func (s *Server) noteKey(r *http.Request) {
	if r.Header.Get("Authorization") == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.SawAuthorization++
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	s.noteKey(r)
	replier.Write(w, http.StatusOK, map[string]string{"path": r.URL.Path, "stock": "12"})
}

func (s *Server) showRecords(w http.ResponseWriter, _ *http.Request) {
	replier.Write(w, http.StatusOK, s.Records())
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if replier.Read(w, r, &faults) {
		s.SetFaults(faults)
	}
}
