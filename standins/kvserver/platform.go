package kvserver

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/endivemast/endivemast/internal/provider"
)

// hostChange is a change of the host list that is not served yet.
type hostChange struct {
	due      time.Time
	revision int64
	id       string
	host     *provider.Host // nil: removed from the list
}

// hostTable holds the current host list and the served one, which lags behind.
type hostTable struct {
	mu             sync.Mutex
	current        map[string]provider.Host
	revision       int64
	pending        []hostChange // in the order of their revision
	served         map[string]provider.Host
	servedRevision int64
}

func newHostTable(hosts []provider.Host, now time.Time) *hostTable {
	table := &hostTable{
		current: map[string]provider.Host{}, served: map[string]provider.Host{}, revision: 1, servedRevision: 1,
	}
	for _, host := range hosts {
		table.put(host, now)
	}
	return table
}

// put adds or replaces a host, served from due on. Putting an unchanged host
// has no effect.
func (t *hostTable) put(host provider.Host, due time.Time) (revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if last, ok := t.current[host.ID]; ok && last == host {
		return t.revision
	}
	t.current[host.ID] = host
	t.revision++
	t.pending = append(t.pending, hostChange{due: due, revision: t.revision, id: host.ID, host: &host})
	return t.revision
}

func (t *hostTable) remove(id string, due time.Time) (revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if _, ok := t.current[id]; !ok {
		return t.revision
	}
	delete(t.current, id)
	t.revision++
	t.pending = append(t.pending, hostChange{due: due, revision: t.revision, id: id})
	return t.revision
}

// list returns the served host list, sorted by id.
func (t *hostTable) list(now time.Time) (hosts []provider.Host, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.pending) > 0 && !t.pending[0].due.After(now) {
		t.serve(t.pending[0])
		t.pending = t.pending[1:]
	}
	hosts = make([]provider.Host, 0, len(t.served))
	for _, host := range t.served {
		hosts = append(hosts, host)
	}
	slices.SortFunc(hosts, func(a, b provider.Host) int { return strings.Compare(a.ID, b.ID) })
	return hosts, t.servedRevision
}

func (t *hostTable) serve(change hostChange) {
	t.servedRevision = change.revision
	if change.host == nil {
		delete(t.served, change.id)
		return
	}
	t.served[change.id] = *change.host
}

type hostsResponse struct {
	Revision int64           `json:"revision"`
	Hosts    []provider.Host `json:"hosts"`
}

type revisionResponse struct {
	Revision int64 `json:"revision"`
}

type weightsDocument struct {
	Model    string   `json:"model"`
	Versions []string `json:"versions"`
}

type errorResponse struct {
	Error string `json:"error"`
}

func (s *Server) platformRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /platform/hosts", s.getHosts)
	mux.HandleFunc("PUT /platform/hosts/{id}", s.putHost)
	mux.HandleFunc("DELETE /platform/hosts/{id}", s.deleteHost)
	mux.HandleFunc("GET /platform/weights/{model}", s.getWeights)
	mux.HandleFunc("PUT /platform/weights/{model}", s.putWeights)
}

// hostsDue returns when a change made now is served.
func (s *Server) hostsDue() time.Time {
	faults, _ := s.faults.get()
	return time.Now().Add(time.Duration(faults.HostListLagMS) * time.Millisecond)
}

func (s *Server) platformDown(w http.ResponseWriter) bool {
	faults, _ := s.faults.get()
	if faults.PlatformDown {
		writeJSON(w, http.StatusServiceUnavailable, errorResponse{"down"})
	}
	return faults.PlatformDown
}

func (s *Server) getHosts(w http.ResponseWriter, r *http.Request) {
	s.counter.admit(kindHosts, time.Now())
	if s.platformDown(w) {
		return
	}
	hosts, revision := s.hosts.list(time.Now())
	tag := strconv.Quote(strconv.FormatInt(revision, 10))
	w.Header().Set("ETag", tag)
	if r.Header.Get("If-None-Match") == tag {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	writeJSON(w, http.StatusOK, hostsResponse{Revision: revision, Hosts: hosts})
}

func (s *Server) putHost(w http.ResponseWriter, r *http.Request) {
	var host provider.Host
	if err := readRequest(r, &host); err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{err.Error()})
		return
	}
	host.ID = r.PathValue("id")
	writeJSON(w, http.StatusOK, revisionResponse{s.PutHost(host)})
}

func (s *Server) deleteHost(w http.ResponseWriter, r *http.Request) {
	writeJSON(w, http.StatusOK, revisionResponse{s.DeleteHost(r.PathValue("id"))})
}

func (s *Server) getWeights(w http.ResponseWriter, r *http.Request) {
	admitted := s.counter.admit(kindWeights, time.Now())
	if s.platformDown(w) {
		return
	}
	if !admitted {
		w.Header().Set("Retry-After", "1") // the rate limit is per second
		writeJSON(w, http.StatusTooManyRequests, errorResponse{"too many requests"})
		return
	}
	model := r.PathValue("model")
	versions, ok := s.weights.get(model)
	if !ok {
		writeJSON(w, http.StatusNotFound, errorResponse{"no such model"})
		return
	}
	writeJSON(w, http.StatusOK, weightsDocument{Model: model, Versions: versions})
}

func (s *Server) putWeights(w http.ResponseWriter, r *http.Request) {
	var document weightsDocument
	if err := readRequest(r, &document); err != nil {
		writeJSON(w, http.StatusBadRequest, errorResponse{err.Error()})
		return
	}
	document.Model = r.PathValue("model")
	s.SetWeights(document.Model, document.Versions)
	writeJSON(w, http.StatusOK, document)
}

// weightTable holds the versions of each model.
type weightTable struct {
	mu       sync.Mutex
	versions map[string][]string
}

func (t *weightTable) get(model string) (versions []string, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	versions, ok = t.versions[model]
	return versions, ok
}

func (t *weightTable) set(model string, versions []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.versions[model] = slices.Clone(versions)
}
