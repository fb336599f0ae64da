package exitverifier

//go:generate protoc --go_out=.. --go_opt=module=github.com/endivemast/endivemast/internal --go-grpc_out=.. --go-grpc_opt=module=github.com/endivemast/endivemast/internal -I exitverifierpb exitverifier.proto
