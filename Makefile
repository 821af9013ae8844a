SEEDS ?= 10
FROM ?= 1

.PHONY: demo platform fleet soak test build lint generate protocol fuzz

build:
	mkdir -p bin
	go build -o bin/ . ./cmd/...

# Packages with concurrency run under the race detector.
# Allocations are counted without it, since it adds its own; so is the spread over 295 VMs, which its
# runtime can't hold.
test:
	script/race.sh
	go test ./internal/caller -run Allocate
	go test ./internal/heartbeat -run '^TestEvacuationSpreads$$'

# Each fuzz target for FUZZTIME, 120s if not set.
fuzz:
	script/fuzz.sh

# Starts everything on this machine, applies a document, runs a checked load.
demo:
	script/demo.sh

# Four VMs on the users' platform's protocol before stand-ins of it, a checked load, no faults.
platform: build
	./bin/savoryramp-soak

# Nine VMs as processes, killed, paused, restarted and replaced under a checked load.
fleet:
	script/fleet.sh

# Writes the pages that come from the code.
generate:
	go run . events > docs/EVENTS.md
	go run . man > savoryramp.1

# VMs as processes before stand-ins of the users' platform, under SEEDS seeds of faults.
soak:
	go test ./internal/soak -count=1 -timeout 60m -v -args -seeds $(SEEDS) -from $(FROM) -at-once 4 -lasts 10s

lint:
	@unformatted=$$(go tool gofumpt -l $$(git ls-files '*.go' | grep -v '\.pb\.go$$')); \
	  if [ -n "$$unformatted" ]; then echo "gofumpt would change:"; echo "$$unformatted"; exit 1; fi
	go tool revive -set_exit_status -exclude ./internal/peer/peerpb/... ./...
	go vet ./...

# Writes the peers' protocol code. Needs protoc; the plugins are those of go.mod.
protocol:
	mkdir -p bin/plugins
	go build -o bin/plugins/ google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
	protoc --plugin=bin/plugins/protoc-gen-go --plugin=bin/plugins/protoc-gen-go-grpc \
	  --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative \
	  internal/peer/peerpb/peer.proto
