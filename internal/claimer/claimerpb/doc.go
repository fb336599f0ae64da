// Package claimerpb holds the wire format between claimers, and the records
// that they keep in the key-value service.
//
// # Usage
//
// The package claimer is its only user. To change the format, edit
// claimer.proto and run "make generate".
package claimerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative claimer.proto
