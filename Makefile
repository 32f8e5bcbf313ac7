GOLANGCI_VERSION := v2.15.0
TOOLS := $(CURDIR)/.tools
LINTER := $(TOOLS)/golangci-lint
MODULES := . cmd/dandelionrail cmd/railctl cmd/railreplay cmd/standin
PROGRAMS := dandelionrail railctl railreplay standin
RACE := -race

export GOBIN := $(TOOLS)

.PHONY: help build test test-untrusted bench demo lint format generate check-generated check-rules clean

help: ## lists the targets
	@grep -E '^[a-z-]+:.*##' $(MAKEFILE_LIST) | sed 's/:.*##/ -/'

build: ## builds the programs into bin/
	@mkdir -p bin
	@for p in $(PROGRAMS); do go build -o bin/$$p ./cmd/$$p || exit 1; done

test: build ## runs all tests
	@RACE=$(RACE) .ci/test $(MODULES)

test-untrusted: ## runs the tests with callers that nobody controls; they measure memory, so run them apart from other load
	@RACE= PACKAGES=./soak/untrusted .ci/test .

demo: build ## replays a recorded trace with two reclaims against separate processes
	@sh demo/run.sh

bench: ## prints the figures of rollouts, upstream choice and teams, with seeds, sizes and baselines
	go test ./rollout -run FaultShapes -v
	go test ./emulator -run xxx -bench . -benchtime 1x -timeout 30m
	go test ./team -run "Neighbour|Goodput" -v
	go test ./fleet -run "Cost|Twice" -v
	go test ./rollout ./upstream ./team ./fleet -run xxx -bench .
	go test ./standin/engine ./cmd/railreplay/proof -run xxx -bench 'Streams|Overhead' -benchtime 1x

lint: $(LINTER) ## runs formatter and linter over all modules
	@for m in $(MODULES); do (cd $$m && $(LINTER) run ./...) || exit 1; done

format: $(LINTER) ## formats all modules
	@for m in $(MODULES); do (cd $$m && $(LINTER) fmt ./...) || exit 1; done

$(LINTER):
	GOWORK=off go install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(GOLANGCI_VERSION)

generate: ## makes the code from proto/
	GOWORK=off go tool -modfile=tools/generate/go.mod buf generate

check-generated: generate ## fails if the generated code is not what proto/ gives
	@test -z "$$(git status --porcelain -- gen)" || (git status --porcelain -- gen; exit 1)

check-rules: ## checks the house rules that the linter does not know
	@sh .ci/rules

clean: ## removes what the targets made
	rm -rf bin .tools
