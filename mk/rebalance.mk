.PHONY: bench-rebalance bench-rebalance-cost bench-rebalance-pieces

## bench-rebalance: compare the placement policy with baselines on drift traces of both deployments; each line is marked ok or short
bench-rebalance:
	$(GO) build -o $(BIN)/ ./cmd/cardamomyoke-bench
	status=0; for d in arriaga sjodastofa; do $(BIN)/cardamomyoke-bench rebalance --deployment $$d || status=1; done; exit $$status

## bench-rebalance-cost: duration of one placement decision by number of ranks, experts and layers
bench-rebalance-cost:
	$(GO) build -o $(BIN)/ ./cmd/cardamomyoke-bench
	$(BIN)/cardamomyoke-bench rebalance-cost

## bench-rebalance-pieces: compare ways to split weights into pieces and plans into switches
bench-rebalance-pieces:
	$(GO) build -o $(BIN)/ ./cmd/cardamomyoke-bench
	$(BIN)/cardamomyoke-bench rebalance-pieces
