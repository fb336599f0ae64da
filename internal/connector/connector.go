// Package connector opens the listeners and connections between hosts and to the platform's
// store. A test can replace the network by one in memory, with failures that a real one has.
//
// # Usage
//
//	network := connector.OrTCP(cfg.Network)
//	conn, err := network.Dial(ctx, "10.0.0.1:8080", connector.Options{Timeout: time.Second})
package connector

import (
	"context"
	"net"
	"time"

	"github.com/endivemast/endivemast/internal/transporter"
)

// Options configures a connection.
type Options struct {
	Timeout     time.Duration       // for opening it; 0: none
	UserTimeout time.Duration       // for which sent data may stay unacknowledged; 0: the kernel's default
	KeepAlive   net.KeepAliveConfig // of an idle connection
}

// Network opens listeners and connections. Addresses are an IP address and a port.
type Network interface {
	Listen(address string) (net.Listener, error)
	Dial(ctx context.Context, address string, options Options) (net.Conn, error)
}

// TCP is the network of this host.
type TCP struct{}

var _ Network = TCP{}

// OrTCP returns network, or TCP if it is nil.
func OrTCP(network Network) Network {
	if network == nil {
		return TCP{}
	}
	return network
}

// Listen implements Network.
func (TCP) Listen(address string) (net.Listener, error) { return net.Listen("tcp", address) }

// Dial implements Network.
func (TCP) Dial(ctx context.Context, address string, options Options) (net.Conn, error) {
	dialer := net.Dialer{Timeout: options.Timeout, KeepAliveConfig: options.KeepAlive}
	if options.UserTimeout > 0 {
		dialer.Control = transporter.UserTimeout(options.UserTimeout)
	}
	return dialer.DialContext(ctx, "tcp", address)
}
