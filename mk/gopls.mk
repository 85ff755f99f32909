.PHONY: gopls

## gopls: build gopls into bin/, for renames that change every use (bin/gopls rename -w FILE:LINE:COL NEW)
gopls:
	$(GO) build -C tools/gopls -o $(CURDIR)/$(BIN)/gopls golang.org/x/tools/gopls
