.PHONY: proto proto-tools

proto-tools:
	$(GO) build -C tools/proto -o $(CURDIR)/$(BIN)/ github.com/bufbuild/buf/cmd/buf google.golang.org/protobuf/cmd/protoc-gen-go connectrpc.com/connect/cmd/protoc-gen-connect-go

## proto: generate internal/gen from proto/ (needed only after a change to the schema)
proto: proto-tools
	$(BIN)/buf lint
	$(BIN)/buf generate
