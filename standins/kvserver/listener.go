package kvserver

import (
	"context"
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

const readHeaderTimeout = 10 * time.Second

// listener is a listening socket that can be closed and opened again at the
// same address. Its owner's mutex guards it.
type listener struct {
	address string // resolved by the first open
	handler http.Handler
	server  *http.Server // nil while closed
	group   errgroup.Group
}

// open listens, unless the listener is open.
func (l *listener) open(ctx context.Context) error {
	if l.server != nil {
		return nil
	}
	var cfg net.ListenConfig
	socket, err := cfg.Listen(ctx, "tcp", l.address)
	if err != nil {
		return err
	}
	l.address = socket.Addr().String()
	server := &http.Server{Handler: l.handler, ReadHeaderTimeout: readHeaderTimeout}
	l.server = server
	l.group.Go(func() error {
		if err := server.Serve(socket); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		return nil
	})
	return nil
}

// close ends the socket and all its connections. Handlers may run on.
func (l *listener) close() error {
	if l.server == nil {
		return nil
	}
	err := l.server.Close()
	l.server = nil
	return errors.Join(err, l.group.Wait())
}
