.PHONY: bench-rebalance bench-rebalance-cost bench-rebalance-pieces

## bench-rebalance: placement policy and baselines on drift traces, both deployments, with ok or short lines
bench-rebalance:
	$(GO) build -o $(BIN)/ ./cmd/cardamomyoke-bench
	status=0; for d in arriaga sjodastofa; do $(BIN)/cardamomyoke-bench rebalance --deployment $$d || status=1; done; exit $$status

## bench-rebalance-cost: time of one placement decision by ranks, experts and layers
bench-rebalance-cost:
	$(GO) build -o $(BIN)/ ./cmd/cardamomyoke-bench
	$(BIN)/cardamomyoke-bench rebalance-cost

## bench-rebalance-pieces: ways to cut weights into pieces and plans into switches
bench-rebalance-pieces:
	$(GO) build -o $(BIN)/ ./cmd/cardamomyoke-bench
	$(BIN)/cardamomyoke-bench rebalance-pieces
