.PHONY: bench-policy

## bench-policy: compare routing, admission and retries with their baselines over 10 seeds; each line is marked ok or short
bench-policy:
	$(GO) build -o $(BIN)/ ./cmd/cardamomyoke-bench
	$(BIN)/cardamomyoke-bench policy --seed 1 --seeds 10
