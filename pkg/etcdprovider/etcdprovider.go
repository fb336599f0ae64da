// Package etcdprovider implements provider.Store on etcd's v3 JSON gateway.
//
// # Usage
//
//	store, err := etcdprovider.New(etcdprovider.Config{Endpoints: []string{"http://10.0.9.1:2379"}})
//	defer store.Close()
//
// The names are aliases of the types and values that endivemast itself uses.
package etcdprovider

import "github.com/endivemast/endivemast/internal/etcdprovider"

// Defaults of a Config.
const (
	DefaultCallTimeout      = etcdprovider.DefaultCallTimeout
	DefaultWatchIdleTimeout = etcdprovider.DefaultWatchIdleTimeout
)

// Config holds the settings of a Provider.
type Config = etcdprovider.Config

// Provider is a client of the key-value service's JSON gateway. It implements
// provider.Store.
type Provider = etcdprovider.Provider

// New creates a Provider. It connects at the first call.
func New(cfg Config) (p *Provider, err error) { return etcdprovider.New(cfg) }
