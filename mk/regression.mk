.PHONY: regression paired

JOBS ?= 4

## regression: score the sites of deploy/regression.txt with the users' bench (BENCH=, SITES=, WHY=, JOBS=) and compare with the required scores
regression:
	@scripts/regression.sh "$(BENCH)" "$(SITES)" "$(WHY)" "$(JOBS)"

## paired: run the days listed in a file (PLAYS=) with two commits (BEFORE=, AFTER=) on the users' bench (BENCH=, SITES=, WHY=) and compare
paired:
	@scripts/paired.sh "$(BENCH)" "$(SITES)" "$(WHY)" "$(BEFORE)" "$(AFTER)" "$(PLAYS)"
