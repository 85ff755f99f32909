.PHONY: slopes

## slopes: measure how the resource use of each role grows, and check the figures against docs/slopes.json
slopes:
	$(GO) build -o $(BIN)/ ./cmd/cardamomyoke-bench
	$(BIN)/cardamomyoke-bench slopes --out out/slopes.json --check docs/slopes.json

.PHONY: report

## report: run the benchmarks and write out/report/report.html and report.txt
report:
	$(GO) build -o $(BIN)/ ./cmd/cardamomyoke-bench
	$(BIN)/cardamomyoke-bench report --out out/report
