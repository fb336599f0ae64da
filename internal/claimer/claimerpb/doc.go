// Package claimerpb defines the messages between claimers and the records
// that they store in the key-value service.
//
// # Usage
//
// Only package claimer uses it. To change the format, edit
// claimer.proto and run "make generate".
package claimerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative claimer.proto
