GOBIN := $(CURDIR)/.bin
export GOBIN
include tools/versions.env
PROGRAMS := rattan-proxy rattan-warden rattanctl rattan-load rattan-standin

.PHONY: build test quick lint fmt demo demo-platform bench slopes soak soak-faults soak-stops hostile model proto tools

build:
	mkdir -p bin
	go build -o bin/ ./cmd/...

tools: .bin/golangci-lint

.bin/golangci-lint: tools/versions.env
	go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_LINT_VERSION)
	touch $@

fmt: tools
	.bin/golangci-lint fmt ./...

lint: tools
	.bin/golangci-lint fmt --diff ./...
	.bin/golangci-lint run ./...
	go vet ./...

# KNOWN_RED is a pattern for go test -skip that matches the tests and subtests listed
# in KNOWN-RED.txt.
KNOWN_RED := $(shell sed -n 's/^test: *//p' KNOWN-RED.txt 2>/dev/null | sed 's|/|$$/^|g; s|^|^|; s|$$|$$|' | paste -sd'|' -)

test: lint build
	@test -z "$(KNOWN_RED)" || { echo "Known to fail and not run:"; cat KNOWN-RED.txt; }
	go test -race -count=1 -timeout 30m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./...
	$(MAKE) hostile

# Runs crowds of clients that are not controlled against rattan-edge processes, one test at
# a time and apart from the other tests.
hostile:
	RATTAN_HOSTILE=1 go test -count=1 -timeout 10m $(if $(KNOWN_RED),-skip '$(KNOWN_RED)') ./internal/hostile

proto:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@$(PROTOC_GEN_GO_VERSION)
	go install storj.io/drpc/cmd/protoc-gen-go-drpc@$(PROTOC_GEN_GO_DRPC_VERSION)
	PATH="$(GOBIN):$$PATH" protoc -I proto --go_out=. --go_opt=module=github.com/rattancove/rattancove \
		--go-drpc_out=. --go-drpc_opt=module=github.com/rattancove/rattancove proto/peer.proto

demo: build
	bash scripts/demo

# Runs two rattan-edge processes with stand-ins for the users' platform: orders and
# reads through both of them while a primary fails and the store is unreachable.
demo-platform:
	go test -count=1 -v -run TestDeploymentServesThroughFailures ./cmd/rattan-edge

# A short check: lint, and the tests of the packages with uncommitted changes.
CHANGED = $(shell git diff --name-only HEAD -- '*.go' | xargs -r -n1 dirname | sort -u | sed 's|^|./|')
quick: tools
	.bin/golangci-lint run ./...
	$(if $(CHANGED),go test -count=1 -timeout 5m $(CHANGED))

bench: build
	bash scripts/bench

slopes: build
	bash scripts/slopes

SEEDS ?= 200
soak:
	RATTAN_SEEDS=$(SEEDS) go test -race -count=1 -timeout 60m -run Seeded ./internal/...

# Searches STATES states of each case of the model of a promotion.
STATES ?= 400000
model:
	RATTAN_MODEL_STATES=$(STATES) go test -count=1 -timeout 60m -run 'TestModel$$' -v ./internal/succession

# Runs TestFaultSoak, which injects faults at rattan-edge processes from outside, with
# COUNT seeds from FIRST on. The logs of failed runs are kept in soak-logs/.
FIRST ?= 100
COUNT ?= 50
soak-faults:
	RATTAN_SOAK_FIRST=$(FIRST) RATTAN_SOAK_SEEDS=$(COUNT) RATTAN_SOAK_KEEP=$(CURDIR)/soak-logs \
		go test -count=1 -timeout 120m -run TestFaultSoak -v ./internal/integration

# Runs TestPlannedStopSoak, which stops rattan-edge processes in order under callers that
# use their connections until these end, with COUNT seeds from FIRST on.
soak-stops:
	RATTAN_STOP_FIRST=$(FIRST) RATTAN_STOP_SEEDS=$(COUNT) RATTAN_SOAK_KEEP=$(CURDIR)/soak-logs \
		go test -count=1 -timeout 120m -run TestPlannedStopSoak -v ./internal/integration
