MODULES := core daemon platform ctl test bench

.PHONY: demo test bench build lint format-check spec generate soak

# demo runs three daemons and a stand-in target: a ticket, a quick check, a batch job.
demo: build
	./scripts/demo.sh

build:
	mkdir -p bin
	cd daemon && go build -o ../bin/samphired ./cmd/samphired
	cd ctl && go build -o ../bin/samphirectl ./cmd/samphirectl

# test runs every test of every module with fixed seeds. Kept results are not used (-count=1):
# tests of processes build the daemons themselves, which the cache of go test does not see, so
# it repeated their verdict on changed daemons. The goals of the decisions run by
# themselves, because go test hides the known misses that a passing package prints.
test: build
	@set -e; for m in $(MODULES); do (cd $$m && go test -count=1 -timeout 20m $$(go list ./... | grep -v /decisions$$)); done
	cd bench && go test -count=1 -timeout 20m -v ./decisions

# soak plays random faults on the daemons; SEEDS=1-50 chooses the seeds, else the clock does.
soak:
	cd test && go run ./cmd/soak --root .. --dir ../bin/soak --seeds "$(SEEDS)"

bench: build
	./scripts/bench.sh

lint:
	@set -e; for m in $(MODULES); do (cd $$m && go vet ./... && go tool staticcheck ./...); done

format-check:
	@out=$$(gofmt -l $(MODULES)); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi

spec:
	./spec/check.sh

# generate needs protoc, protoc-gen-go and protoc-gen-twirp; its output is committed.
generate:
	cd daemon/rpc && protoc --go_out=. --go_opt=paths=source_relative --twirp_out=. --twirp_opt=paths=source_relative peer.proto
