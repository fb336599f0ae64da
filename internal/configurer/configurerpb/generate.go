// Package configurerpb holds the generated messages and service by which entry
// hosts exchange configuration changes, from configurer.proto.
//
// # Usage
//
//	configurerpb.RegisterConfigurerServer(registrar, server)
//	reply, err := configurerpb.NewConfigurerClient(conn).Compare(ctx, request)
package configurerpb

//go:generate protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative configurer.proto
