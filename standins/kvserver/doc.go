// Package kvserver is a stand-in for the platform: its key-value service, its
// list of hosts and its weight store.
//
// The key-value service speaks a subset of etcd's v3 JSON gateway, as etcd
// publishes it: range, put, deleterange, txn, compaction, leases and watches.
// Keys and values are base64, 64-bit integers are strings, and fields at their
// zero value are left out. The store is in memory and linearizable, and has
// one revision for all keys. List and weights are plain JSON in snake case.
//
// # Usage
//
//	server, err := kvserver.New(kvserver.Config{Address: "127.0.0.1:0"})
//	err = server.Start(ctx)
//	defer server.Close()
//	url := "http://" + server.Address()
//	server.SetFaults(kvserver.Faults{LoseAnswers: 1}) // the next write is done but not answered
//	server.PutHost(provider.Host{ID: "engine-1", Kind: provider.HostEngine})
//
// Faults can be set over HTTP too: POST /faults changes the fields that it
// names, DELETE /faults ends all faults, GET /stats reads the counters.
//
// # Rates
//
// range and watch count as reads, all other calls of the key-value service as
// writes, lease renewals and transactions that only read included. An open
// watch counts as one more read a second. A call above the rate is answered
// with status 429 and is not done. The list of hosts and the weight store are
// not part of the key-value service's rate.
package kvserver
