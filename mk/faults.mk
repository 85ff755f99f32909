.PHONY: test-faults bench-claims bench-quarantine

FAULT_SEEDS ?= 200

## test-faults: combined failure tests: each fault alone, named pairs, and FAULT_SEEDS seeds of random pairs
test-faults:
	@mkdir -p out
	@$(GO) test -count=1 ./internal/state/claims ./internal/policy/quarantine ./internal/testing/bench/quarantine
	@$(GO) test -count=1 -timeout 30m -v ./internal/testing/faulttest -args -faults.seeds=$(FAULT_SEEDS) > out/test-faults.txt 2>&1 || { cat out/test-faults.txt; exit 1; }
	@grep -E ' violations [0-9]+$$' out/test-faults.txt
	@grep '^violations:' out/test-faults.txt

## bench-claims: writes to the platform's table by claims per second
bench-claims: build
	$(BIN)/cardamomyoke-bench claims --seed 1

## bench-quarantine: number of upstreams lost to one request that crashes every upstream that runs it
bench-quarantine: build
	$(BIN)/cardamomyoke-bench quarantine --seed 1
