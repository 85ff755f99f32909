.PHONY: slopes

## slopes: measure how each role grows, and check the figures against docs/slopes.json
slopes:
	$(GO) build -o $(BIN)/ ./cmd/cardamomyoke-bench
	$(BIN)/cardamomyoke-bench slopes --out out/slopes.json --check docs/slopes.json
