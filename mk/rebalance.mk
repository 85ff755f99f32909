.PHONY: bench-rebalance

## bench-rebalance: placement policy and baselines on drift traces, both deployments, with ok or short lines
bench-rebalance:
	$(GO) build -o $(BIN)/ ./cmd/cardamomyoke-bench
	status=0; for d in arriaga sjodastofa; do $(BIN)/cardamomyoke-bench rebalance --deployment $$d || status=1; done; exit $$status
