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

// listener is a listening socket that can be closed and reopened at the same
// address. The mutex of its owner guards it.
type listener struct {
	address string // resolved by the first open
	handler http.Handler
	server  *http.Server // nil while closed
	group   errgroup.Group
}

// open starts to listen, unless the listener is already open.
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

// close closes the socket and all its connections. Running handlers are not
// waited for.
func (l *listener) close() error {
	if l.server == nil {
		return nil
	}
	err := l.server.Close()
	l.server = nil
	return errors.Join(err, l.group.Wait())
}
