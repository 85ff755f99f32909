.PHONY: demo

## demo: run the main scenario on this machine: stand-ins, three entries, two services, one entry replaced during the run
demo: build
	scripts/demo.sh
