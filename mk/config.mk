.PHONY: test-config bench-config

## test-config: races, lost answers, outages, pauses, cuts and replacements against acceptance; last line is the count
test-config:
	$(GO) test -count=1 -timeout 20m -run '^TestScenarios$$' -v ./internal/state/revision/agent -seeds 3 | grep -vE '^(=== |--- PASS|PASS|ok )'

## bench-config: time from put to in force everywhere and the cost a node, each with ok or short
bench-config:
	$(GO) run ./cmd/cardamomyoke-bench config
