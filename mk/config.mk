.PHONY: test-config bench-config

## test-config: test acceptance of configurations under races, lost responses, outages, pauses, partitions and replacements; the last line is the count
test-config:
	$(GO) test -count=1 -timeout 20m -run '^TestScenarios$$' -v ./internal/state/revision/agent -seeds 3 | grep -vE '^(=== |--- PASS|PASS|ok )'

## bench-config: time from put to in force on all nodes and the cost per node, each marked ok or short
bench-config:
	$(GO) run ./cmd/cardamomyoke-bench config
