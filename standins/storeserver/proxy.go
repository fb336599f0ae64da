package storeserver

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
)

// Proxy is another address of the store with a fault of its own, which affects
// only clients that connect to this address.
type Proxy struct {
	http     *httptest.Server
	listener *silenceableListener
	done     chan struct{}

	mu    sync.Mutex
	fault Fault
}

// OpenProxy starts a proxy. It has to be closed before the store.
func (s *Server) OpenProxy() *Proxy {
	p := &Proxy{done: make(chan struct{})}
	p.http = httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		serveWithFault(p.current(), s.http.Config.Handler, p.done, w, r)
	}))
	p.listener = &silenceableListener{Listener: p.http.Listener, open: map[*silenceableConn]struct{}{}}
	p.http.Listener = p.listener
	p.http.Start()
	return p
}

// SilenceConnections stops all transfers on the open connections for good, without closing them.
// New connections work.
func (p *Proxy) SilenceConnections() { p.listener.silence() }

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	close(p.done)
	p.http.CloseClientConnections()
	p.http.Close()
}

// Address returns the proxy's IP and port.
func (p *Proxy) Address() string { return strings.TrimPrefix(p.http.URL, "http://") }

// SetFault sets the fault of calls from now on. Waiting calls are interrupted.
func (p *Proxy) SetFault(fault Fault) {
	p.mu.Lock()
	p.fault = fault
	p.mu.Unlock()
	p.http.CloseClientConnections()
}

func (p *Proxy) current() Fault {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}
