.PHONY: bench-claims

## bench-claims: writes to the platform's table against claims a second
bench-claims: build
	$(BIN)/cardamomyoke-bench claims --seed 1
