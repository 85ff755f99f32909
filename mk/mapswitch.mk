.PHONY: bench-mapswitch

## bench-mapswitch: pause and messages of expert map switches at 4, 16 and 64 ranks
bench-mapswitch:
	$(GO) run ./cmd/cardamomyoke-bench mapswitch --seed 1
