// Package reserver limits the memory for what other parties send, which may be without end. Memory is
// reserved as the bytes arrive, in an Account for each exchange. A party whose bytes take up the memory
// does not use up that of others: the accounts of one party together may grow only while they hold no
// more than is left free.
//
// # Usage
//
//	memory := reserver.New(27 << 20)
//	account := memory.Account("engine-1")
//	defer account.Release()
//	body, err := account.ReadAll(response.Body, 64<<10, 8<<20)
package reserver

import (
	"bytes"
	"io"
	"sync"

	"github.com/go-faster/errors"
)

const (
	// stepBytes is the number of bytes of a body for which memory is reserved at a time.
	stepBytes = 256 << 10
	// bodyCopies is the number of copies of a body: its chunks, and the joined body at the end.
	bodyCopies = 2
)

// The errors of a body that is not read to its end.
var (
	ErrFull    = errors.New("there is no memory left for what the other party sends")
	ErrTooLong = errors.New("the other party sends more than the limit")
)

// Reserver limits the memory of all accounts together. It is safe for concurrent use.
type Reserver struct {
	mu    sync.Mutex
	limit int64
	held  int64
	// parties has the memory that the parties hold.
	parties map[string]int64
}

// New returns a Reserver of the limit in bytes.
func New(limit int64) *Reserver {
	return &Reserver{limit: limit, parties: map[string]int64{}}
}

// Held returns the memory that is reserved, in bytes.
func (r *Reserver) Held() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.held
}

// Account returns an empty account of the party. Accounts of the party with the empty name share all of
// the memory.
func (r *Reserver) Account(party string) *Account {
	return &Account{reserver: r, party: party}
}

// Account is the memory reserved for one exchange. All calls of a nil account succeed.
type Account struct {
	reserver *Reserver
	party    string
	held     int64
}

// Grow reserves further bytes. It reports false, and reserves nothing, if there is not enough memory.
func (a *Account) Grow(bytes int64) bool {
	if a == nil {
		return true
	}
	r := a.reserver
	r.mu.Lock()
	defer r.mu.Unlock()
	free := r.limit - r.held - bytes
	if free < 0 || a.party != "" && r.parties[a.party]+bytes > free {
		return false
	}
	a.add(bytes)
	return true
}

// add changes what the account holds. The caller holds the lock.
func (a *Account) add(bytes int64) {
	a.held += bytes
	a.reserver.held += bytes
	if a.reserver.parties[a.party] += bytes; a.reserver.parties[a.party] == 0 {
		delete(a.reserver.parties, a.party)
	}
}

// Held returns the memory that the account holds, in bytes.
func (a *Account) Held() int64 {
	if a == nil {
		return 0
	}
	a.reserver.mu.Lock()
	defer a.reserver.mu.Unlock()
	return a.held
}

// Shrink releases what the account holds beyond the bytes.
func (a *Account) Shrink(bytes int64) {
	if a == nil {
		return
	}
	a.reserver.mu.Lock()
	defer a.reserver.mu.Unlock()
	if a.held > bytes {
		a.add(bytes - a.held)
	}
}

// Release releases what the account holds.
func (a *Account) Release() { a.Shrink(0) }

// ReadAll reads a body of at most limit bytes to its end. The first bytes of it, as many as unreserved,
// need no memory of the account. While it is read, memory for its copies is reserved, and afterwards that for the
// other bytes. It returns ErrTooLong, ErrFull or the body's error.
func (a *Account) ReadAll(body io.Reader, unreserved, limit int64) ([]byte, error) {
	before := a.Held()
	var first bytes.Buffer
	_, err := io.CopyN(&first, body, unreserved)
	// Chunks are not copied while the body grows: the garbage of one growing buffer for each of
	// many long bodies was several times their contents.
	chunks, length := [][]byte{first.Bytes()}, int64(first.Len())
	for err == nil && length <= limit {
		if !a.Grow(bodyCopies * stepBytes) {
			return nil, ErrFull
		}
		chunk := bytes.NewBuffer(make([]byte, 0, stepBytes+bytes.MinRead))
		_, err = io.CopyN(chunk, body, stepBytes)
		chunks, length = append(chunks, chunk.Bytes()), length+int64(chunk.Len())
	}
	switch {
	case length > limit:
		return nil, ErrTooLong
	case err != io.EOF:
		return nil, err
	case len(chunks) == 1:
		return first.Bytes(), nil
	}
	content := bytes.Join(chunks, nil)
	a.Shrink(before + max(0, length-unreserved))
	return content, nil
}
