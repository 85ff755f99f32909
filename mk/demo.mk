.PHONY: demo

## demo: run the main job on this machine: stand-ins, three entries, two services, one entry replaced on the way
demo: build
	scripts/demo.sh
