.PHONY: bench-policy

## bench-policy: routing, admission and retries beside their baselines over 10 seeds, with ok or short lines
bench-policy:
	$(GO) build -o $(BIN)/ ./cmd/cardamomyoke-bench
	$(BIN)/cardamomyoke-bench policy --seed 1 --seeds 10
