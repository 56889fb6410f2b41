# make demo  builds the programs and runs the main use case with stand-ins on loopback
# make test  runs all checks and all tests
.PHONY: demo test check unit fuzz generate emulate soak soak-processes

GO ?= go

demo:
	bash scripts/demo.sh

test: check unit

check:
	@unformatted=$$(gofmt -l api cmd internal platform); if [ -n "$$unformatted" ]; then echo "not formatted: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...
	GO=$(GO) bash scripts/unreachable.sh

unit:
	GO=$(GO) bash scripts/unit.sh

# Fuzzes each decoder of external input for ten seconds.
fuzz:
	bash scripts/fuzz.sh

# Regenerates the protocol code and docs/ERRORS.md. Needs buf. Not part of the build, as the generated
# code is committed.
generate:
	$(GO) run github.com/bufbuild/buf/cmd/buf@v1.71.0 generate
	$(GO) run ./cmd/lapislab error-table > docs/ERRORS.md

# Plays a short day on the emulated platform; fails if a promise is broken.
emulate:
	$(GO) run ./cmd/lapislab emulate

# Fault soak: plays days with new seeds for the duration SOAK and prints the failing seeds.
SOAK ?= 5m
soak:
	$(GO) run -race ./cmd/lapislab emulate --for $(SOAK) --faults 8

# Plays SEEDS days with planned work and faults on real processes, starting at seed SEED. The test
# prints the failing seeds.
SEED ?= 1
SEEDS ?= 50
MACHINES ?= 6
soak-processes:
	$(GO) test -count=1 -timeout 3h -v ./internal/lab/soak -run 'Planned|Faults|Unasked' -soak.seed $(SEED) -soak.seeds $(SEEDS) -soak.lives $(SEEDS) -soak.machines $(MACHINES)
