.PHONY: soak soak-large

SEEDS ?= 50
SEED ?= 1
GATEWAYS ?= 120

## soak: run SEEDS seeds, starting at SEED, with real gateway processes under external fault injection, evacuations and cold upstreams (docs/design/soak.md); logs of failed seeds are in out/soak
soak:
	@mkdir -p out/soak
	@$(GO) test -count=1 -timeout 60m -parallel 6 -v ./platform/soak -args -soak.seeds=$(SEEDS) -soak.from=$(SEED) -soak.keep=$(CURDIR)/out/soak > out/soak.txt 2>&1 || { cat out/soak.txt; exit 1; }
	@grep -oE 'seeds: .*' out/soak.txt
	@grep -oE 'violations: .*' out/soak.txt

## soak-large: run one seed with GATEWAYS gateway processes of about 15 MB each
soak-large:
	@mkdir -p out/soak
	@$(GO) test -count=1 -timeout 60m -v ./platform/soak -args -soak.seeds=1 -soak.from=$(SEED) -soak.gateways=$(GATEWAYS) -soak.runners=24 -soak.callers=48 -soak.faults=48 -soak.keep=$(CURDIR)/out/soak > out/soak-large.txt 2>&1 || { cat out/soak-large.txt; exit 1; }
	@grep -oE 'seeds: .*' out/soak-large.txt
	@grep -oE 'violations: .*' out/soak-large.txt
