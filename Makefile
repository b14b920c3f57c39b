# The two commands of the README are `make demo` and `make test`.
GOBIN := $(CURDIR)/.bin
MODULES := tier platform loomd loomctl loomfake
LINT := $(GOBIN)/golangci-lint
GOA := $(GOBIN)/goa

.PHONY: build demo test soak lint generate format

SEED ?= 1
# Packages whose tests run in bubbles of testing/synctest. With the race detector they run
# on one processor: all timers of a bubble share one context of the detector, which ends the
# process when two threads use it at once. Without the detector they run on all processors.
SYNCTEST := kernel pass peers policy
space := $(subst ,, )
# Tests that are known to fail; the first word of each line is the test, or a subtest as
# TestName/Case. Names are matched whole, so that no other test is left out.
KNOWN_RED := $(shell cut -d' ' -f1 KNOWN-RED.txt 2>/dev/null | sed -e 's|/|$$/^|g' -e 's|.*|^&$$|' | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')

build:
	go build -o bin/ ./loomd ./loomctl ./loomfake

demo:
	@scripts/demo

test:
	go vet $(addsuffix /...,$(addprefix ./,$(MODULES)))
	go test -race -count=1 $(SKIP) $$(go list $(addsuffix /...,$(addprefix ./,$(MODULES))) | grep -v -E '/(replay|$(subst $(space),|,$(SYNCTEST)))$$')
	go test -race -count=1 -cpu 1 $(SKIP) $(addprefix ./tier/,$(SYNCTEST))
	go test -count=1 $(SKIP) $(addprefix ./tier/,$(SYNCTEST) replay)

soak: build
	bin/loomfake soak -Daemon bin/loomd -Seed $(SEED)

lint: $(LINT)
	@for m in $(MODULES); do (cd $$m && $(LINT) run ./...) || exit 1; done

$(LINT):
	GOBIN=$(GOBIN) go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0

$(GOA):
	GOBIN=$(GOBIN) go install goa.design/goa/v3/cmd/goa@v3.25.3

generate: $(GOA)
	cd tier && rm -rf gen && $(GOA) gen loomgap/tier/design

format: $(LINT)
	@for m in $(MODULES); do (cd $$m && $(LINT) fmt ./...) || exit 1; done
