# The commands of this project. Each installs what it needs and builds.

BUILD ?= build
SANITIZED ?= build-sanitized
DEPLOYMENT ?= andina
SEED ?= 1
SECONDS_OF_TRAFFIC ?= 20
MINUTES ?= 1
SOAK_OPTIONS ?=
ROUNDS ?= 9
PACKETS ?= 60000
SEEDS ?= 4
JOBS ?= 3

.PHONY: deps build test lint format generate sanitize demo forward-demo soak upgrade flood measure bench experiment fuzz clean

deps:
	@scripts/install_packages.sh

build: deps
	@cmake -S . -B $(BUILD) -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo > /dev/null
	@cmake --build $(BUILD)

test: build
	@scripts/run_tests.sh $(BUILD)

lint: build
	@scripts/lint.sh $(BUILD)

format:
	@git ls-files -co --exclude-standard '*.cpp' '*.h' | grep -v '^src/gen/' | xargs clang-format -i

# Rewrites the committed code in src/gen/ from the Thrift file.
generate:
	@scripts/generate.sh

sanitize: deps
	@cmake -S . -B $(SANITIZED) -G Ninja -DSANITIZE=ON > /dev/null
	@cmake --build $(SANITIZED)
	@scripts/run_tests.sh $(SANITIZED)

demo: build
	@scripts/demo.sh $(BUILD) $(DEPLOYMENT) $(SECONDS_OF_TRAFFIC)

forward-demo: build
	@python3 scripts/forward_demo.py $(BUILD)/indigopoint

# Random faults for forwarder processes, checked from what clients and upstreams observe.
soak: build
	@python3 soak/soak.py $(BUILD)/indigopoint --seed $(SEED) --minutes $(MINUTES) \
	  $(SOAK_OPTIONS)

# Runs the program beside that of the commit FROM, through an upgrade and under faults.
upgrade: build
	@scripts/upgrade.sh $(BUILD) $(FROM) $(SEED) $(MINUTES)

# Measures the CPU time of a packet with and without logs and scrapes; fails if a
# packet is lost.
flood: build
	@python3 scripts/forward_flood.py $(BUILD)/indigopoint --rounds $(ROUNDS) --packets $(PACKETS)

measure: build
	@$(BUILD)/indigopoint_measure --output $(BUILD)/measure.json

bench: build
	@scripts/bench.sh $(BUILD)

# Plays variants of the policy options on the users' bench.
experiment:
	@python3 experiments/run_experiment.py --bench $(BENCH) --site $(SITE) --out $(OUT) \
	  --seeds $(SEEDS) --jobs $(JOBS)

fuzz: build
	@scripts/fuzz.sh $(BUILD) $(SEED)

clean:
	@rm -rf $(BUILD) $(SANITIZED)
