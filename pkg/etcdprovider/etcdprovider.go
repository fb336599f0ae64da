// Package etcdprovider is a provider.Store over etcd's v3 JSON gateway.
//
// # Usage
//
//	store, err := etcdprovider.New(etcdprovider.Config{Endpoints: []string{"http://10.0.9.1:2379"}})
//	defer store.Close()
//
// The names are aliases of those that endivemast itself is built from.
package etcdprovider

import "github.com/endivemast/endivemast/internal/etcdprovider"

// Defaults of a Config.
const (
	DefaultCallTimeout      = etcdprovider.DefaultCallTimeout
	DefaultWatchIdleTimeout = etcdprovider.DefaultWatchIdleTimeout
)

// Config sets a Provider up.
type Config = etcdprovider.Config

// Provider is the key-value service behind its JSON gateway. It implements provider.Store.
type Provider = etcdprovider.Provider

// New makes a Provider. It connects at the first call.
func New(cfg Config) (p *Provider, err error) { return etcdprovider.New(cfg) }
