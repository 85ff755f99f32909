.PHONY: model model-traces

## model: check every specification in spec/ and each of its mutants with Spin
model:
	$(GO) run ./internal/testing/modelcheck --dir spec

## model-traces: write the counterexamples of the mutants to the testdata of the Go tests that replay them
model-traces:
	$(GO) run ./internal/testing/modelcheck --dir spec --only expertmap --traces internal/experts/expertmap/testdata
