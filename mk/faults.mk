.PHONY: bench-claims

## bench-claims: writes to the platform's table against claims a second
bench-claims: build
	$(BIN)/cardamomyoke-bench claims --seed 1

.PHONY: bench-quarantine

## bench-quarantine: upstreams that one request takes down which crashes each one that runs it
bench-quarantine: build
	$(BIN)/cardamomyoke-bench quarantine --seed 1
