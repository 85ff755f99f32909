.PHONY: regression

JOBS ?= 4

## regression: score the sites of deploy/regression.txt with the users' bench (BENCH=, SITES=, WHY=) and compare
regression:
	@scripts/regression.sh "$(BENCH)" "$(SITES)" "$(WHY)" "$(JOBS)"
