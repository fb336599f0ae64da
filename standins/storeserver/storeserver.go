// Package storeserver is a stand-in for the store of the users' platform: keys
// with revisions, leases, conditional transactions and long-polling watches
// over HTTP. It can be unreachable, lose answers, drop its history, and come
// back from an older copy of its state.
//
// # Usage
//
//	store := storeserver.Start()
//	defer store.Close()
//	store.Put("op/config", value)
//	store.SetFault(storeserver.FaultBusy)
package storeserver

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fault is a failure mode of the store.
type Fault int

// Faults.
const (
	FaultNone        Fault = iota
	FaultBusy              // answers 503 without running calls
	FaultNoAnswer          // accepts calls and neither runs nor answers them
	FaultLoseAnswers       // runs calls and closes the connection instead of answering
)

// PageItems is the maximum number of items in a page of a range, unless SetPageItems changes it.
const PageItems = 4

// Item is one key with its value, or a change of it.
type Item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Server is the stand-in. All methods are safe for concurrent use.
type Server struct {
	http *httptest.Server

	mu      sync.Mutex
	state   state
	era     int64 // rises with each Restore
	fault   Fault
	stale   *Copy // what stale reads return; nil: the current state
	isMute  bool  // watches see no changes
	delay   time.Duration
	page    int
	calls   map[string]int
	changed chan struct{} // closed with each change
	closed  chan struct{}
}

// state is what a copy of the store holds.
type state struct {
	items    map[string]Item
	leases   map[int64]lease
	history  []Item // changes, oldest first
	oldest   int64  // lowest revision whose changes are in history
	revision int64
	nextID   int64 // of a lease
}

// Copy is a copy of the store's state.
type Copy struct{ state state }

// Revision returns the revision of the last change in the copy.
func (c Copy) Revision() int64 { return c.state.revision }

func (s *state) clone() state {
	next := *s
	next.items, next.leases, next.history = maps.Clone(s.items), maps.Clone(s.leases), slices.Clone(s.history)
	return next
}

// Start starts an empty store on loopback.
func Start() *Server {
	s := newServer()
	s.http.Start()
	return s
}

// StartOn starts an empty store on a listener.
func StartOn(listener net.Listener) *Server {
	s := newServer()
	_ = s.http.Listener.Close() // of loopback, not used
	s.http.Listener = listener
	s.http.Start()
	return s
}

func newServer() *Server {
	s := &Server{
		state: state{items: map[string]Item{}, leases: map[int64]lease{}, oldest: 1},
		calls: map[string]int{}, changed: make(chan struct{}), closed: make(chan struct{}), era: 1, page: PageItems,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/kv-key", s.key)
	mux.HandleFunc("GET /api/kv-range", s.list)
	mux.HandleFunc("GET /api/kv-watch", s.watch)
	mux.HandleFunc("POST /api/kv-txn", s.swap)
	mux.HandleFunc("POST /api/kv-lease", s.grant)
	mux.HandleFunc("POST /api/kv-keep/{id}", s.renew)
	mux.HandleFunc("DELETE /api/kv-lease-end/{id}", s.revoke)
	s.http = httptest.NewUnstartedServer(s.withFaults(mux))
	return s
}

// Close stops the store and closes its connections.
func (s *Server) Close() {
	close(s.closed)
	s.http.CloseClientConnections()
	s.http.Close()
}

// Address returns the store's IP and port.
func (s *Server) Address() string { return strings.TrimPrefix(s.http.URL, "http://") }

// SetFault sets the fault of calls from now on. Waiting calls are interrupted.
func (s *Server) SetFault(fault Fault) {
	s.mu.Lock()
	s.fault = fault
	s.mu.Unlock()
	s.http.CloseClientConnections()
}

// SetDelay sets how long each call takes before it is run.
func (s *Server) SetDelay(delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = delay
}

// SetPageItems sets the maximum number of items in a page of a range.
func (s *Server) SetPageItems(items int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.page = items
}

// Put writes a key without a condition and returns its revision.
func (s *Server) Put(key string, value []byte) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.writeLocked(Item{Key: key, Value: value})
}

// Delete removes a key.
func (s *Server) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writeLocked(Item{Key: key, Tombstone: true})
}

// Get returns a key.
func (s *Server) Get(key string) (item Item, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLocked()
	item, ok = s.state.items[key]
	return item, ok
}

// DropHistory removes all past changes and closes all connections, including
// watches.
func (s *Server) DropHistory() {
	s.mu.Lock()
	s.state.history, s.state.oldest = nil, s.state.revision+1
	s.mu.Unlock()
	s.http.CloseClientConnections()
}

// Copy returns a copy of the state.
func (s *Server) Copy() Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Copy{state: s.state.clone()}
}

// Restore replaces the state by a copy, and starts the next era: revisions and ids of
// leases are given out again. Leases of the copy run for their time from now on.
// Connections are closed.
func (s *Server) Restore(c Copy) {
	s.mu.Lock()
	s.state = c.state.clone()
	s.era++
	for id, l := range s.state.leases {
		l.expiresAt = time.Now().Add(l.ttl)
		s.state.leases[id] = l
	}
	s.mu.Unlock()
	s.http.CloseClientConnections()
}

// SetStale sets what stale reads return; nil: the current state.
func (s *Server) SetStale(c *Copy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stale = c
}

// MuteWatches sets whether watches see no changes. Those that wait are answered as if there were
// none.
func (s *Server) MuteWatches(isMute bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isMute = isMute
}

// Revision returns the revision of the last change.
func (s *Server) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.revision
}

// RevokeAll revokes all leases and deletes their keys.
func (s *Server) RevokeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.state.leases {
		s.endLocked(id)
	}
}

// Calls returns how often a path was called.
func (s *Server) Calls(path string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls[path]
}

func (s *Server) writeLocked(item Item) int64 {
	s.state.revision++
	item.Revision = s.state.revision
	item.Created = s.state.revision
	if before, ok := s.state.items[item.Key]; ok {
		item.Created = before.Created
	}
	if item.Tombstone {
		item.Created = 0
		delete(s.state.items, item.Key)
	} else {
		s.state.items[item.Key] = item
	}
	s.state.history = append(s.state.history, item)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.state.revision
}

func (s *Server) expireLocked() {
	now := time.Now()
	for id, l := range s.state.leases {
		if now.After(l.expiresAt) {
			s.endLocked(id)
		}
	}
}

func (s *Server) endLocked(id int64) {
	delete(s.state.leases, id)
	for key, item := range s.state.items {
		if item.Lease == id {
			s.writeLocked(Item{Key: key, Tombstone: true})
		}
	}
}

// withFaults counts calls and applies the fault.
func (s *Server) withFaults(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.expireLocked()
		s.calls[r.URL.Path]++
		fault, era, delay := s.fault, s.era, s.delay
		s.mu.Unlock()
		if delay > 0 {
			timer := time.NewTimer(delay)
			defer timer.Stop()
			<-timer.C
		}
		setEra(w, era)
		serveWithFault(fault, next, s.closed, w, r)
	})
}

// serveWithFault runs a call under a fault. An unanswered call ends when done
// is closed.
func serveWithFault(fault Fault, next http.Handler, done <-chan struct{}, w http.ResponseWriter, r *http.Request) {
	switch fault {
	case FaultBusy:
		http.Error(w, "busy", http.StatusServiceUnavailable)
	case FaultNoAnswer:
		// The server notices a closed connection only behind the request's body.
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
		case <-done:
		}
	case FaultLoseAnswers:
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	default:
		next.ServeHTTP(w, r)
	}
}

// headerEra says how often the store has come back from a copy.
const headerEra = "Store-Era"

// setEra states the era of an answer, which has to be that of the state it describes.
func setEra(w http.ResponseWriter, era int64) { w.Header().Set(headerEra, strconv.FormatInt(era, 10)) }

func answer(w http.ResponseWriter, status int, message any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(message) // the caller detects a truncated answer
}

func (s *Server) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	setEra(w, s.era)
	item, ok := s.state.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	answer(w, http.StatusOK, item)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	setEra(w, s.era)
	query := r.URL.Query()
	state := &s.state
	if query.Get("stale_ok") != "" && s.stale != nil {
		state = &s.stale.state
	}
	var keys []string
	for key := range state.items {
		if strings.HasPrefix(key, query.Get("prefix")) && key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	page := struct {
		Items   []Item `json:"items"`
		HasMore bool   `json:"has_more"`
		AsOf    int64  `json:"as_of"`
	}{Items: []Item{}, HasMore: len(keys) > s.page, AsOf: state.revision}
	for _, key := range keys[:min(len(keys), s.page)] {
		page.Items = append(page.Items, state.items[key])
	}
	answer(w, http.StatusOK, page)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for timedOut := false; ; {
		s.mu.Lock()
		s.expireLocked()
		setEra(w, s.era)
		if after+1 < s.state.oldest || after > s.state.revision {
			s.mu.Unlock()
			answer(w, http.StatusGone, struct{}{})
			return
		}
		events, changed, asOf := s.sinceLocked(after, query.Get("prefix")), s.changed, s.state.revision
		if s.isMute {
			events, asOf = []Item{}, after
		}
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			answer(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		case <-s.closed:
			return
		}
	}
}

func (s *Server) sinceLocked(after int64, prefix string) []Item {
	events := []Item{}
	for _, item := range s.state.history {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			events = append(events, item)
		}
	}
	return events
}

type swapMessage struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Deletes []string `json:"deletes"`
}

func (s *Server) swap(w http.ResponseWriter, r *http.Request) {
	var message swapMessage
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	setEra(w, s.era)
	for _, expected := range message.Expected {
		if s.state.items[expected.Key].Revision != expected.Revision {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []Item{s.state.items[expected.Key]}})
			return
		}
	}
	for _, put := range message.Puts {
		if _, ok := s.state.leases[put.Lease]; put.Lease != 0 && !ok {
			answer(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	for _, put := range message.Puts {
		s.writeLocked(Item{Key: put.Key, Value: put.Value, Lease: put.Lease})
	}
	for _, key := range message.Deletes {
		s.writeLocked(Item{Key: key, Tombstone: true})
	}
	answer(w, http.StatusOK, map[string]int64{"revision": s.state.revision})
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var message struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&message); err != nil {
		answer(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	setEra(w, s.era)
	s.state.nextID++
	ttl := time.Duration(message.TTL) * time.Millisecond
	s.state.leases[s.state.nextID] = lease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	answer(w, http.StatusOK, map[string]int64{"lease": s.state.nextID, "ttl_ms": message.TTL})
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	setEra(w, s.era)
	l, ok := s.state.leases[id]
	if !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	s.state.leases[id] = l
	answer(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	setEra(w, s.era)
	if _, ok := s.state.leases[id]; !ok {
		answer(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLocked(id)
	answer(w, http.StatusOK, struct{}{})
}
