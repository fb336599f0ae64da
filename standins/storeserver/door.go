package storeserver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// Door is another address of the store, which fails by itself: the store turns
// those away that come by it, and serves all others.
type Door struct {
	http *httptest.Server
	done chan struct{}

	mu    sync.Mutex
	fault Fault
}

// OpenDoor opens a door. It has to be closed before the store.
func (s *Server) OpenDoor() *Door {
	d := &Door{done: make(chan struct{})}
	d.http = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		fail(d.current(), s.http.Config.Handler, d.done, w, r)
	}))
	return d
}

// Close cuts the door's connections.
func (d *Door) Close() {
	close(d.done)
	d.http.CloseClientConnections()
	d.http.Close()
}

// Address is the door's IP and port.
func (d *Door) Address() string { return strings.TrimPrefix(d.http.URL, "http://") }

// SetFault makes the door fail from now on. Calls that wait are cut.
func (d *Door) SetFault(fault Fault) {
	d.mu.Lock()
	d.fault = fault
	d.mu.Unlock()
	d.http.CloseClientConnections()
}

func (d *Door) current() Fault {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.fault
}
