.PHONY: soak

SEEDS ?= 50
SEED ?= 1

## soak: SEEDS seeds from SEED of real gateways that are broken from outside; logs of seeds that fail are in out/soak
soak:
	@mkdir -p out/soak
	@$(GO) test -count=1 -timeout 60m -parallel 6 -v ./platform/soak -args -soak.seeds=$(SEEDS) -soak.from=$(SEED) -soak.keep=$(CURDIR)/out/soak > out/soak.txt 2>&1 || { cat out/soak.txt; exit 1; }
	@grep -oE 'seeds: .*' out/soak.txt
	@grep -oE 'violations: .*' out/soak.txt
