// Package kvserver is a stand-in for the platform: its key-value service, its
// host list and its weight store.
//
// The key-value service implements a subset of etcd's v3 JSON gateway: range,
// put, deleterange, txn, compaction, leases and watches. Keys and values are
// base64, 64-bit integers are strings, and fields with zero values are omitted.
// The store is in memory and linearizable, and has one revision for all keys.
// Host list and weights are plain JSON with snake-case names.
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
// Faults can be set over HTTP too: POST /faults changes the fields in its body,
// DELETE /faults clears all faults, GET /stats returns the counters.
//
// # Rates
//
// range and watch count as reads, all other calls of the key-value service as
// writes, including lease renewals and read-only transactions. An open watch
// counts as one more read a second. A call above the rate limit is answered
// with status 429 and has no effect. The host list and the weight store don't
// count towards the rates of the key-value service.
package kvserver
