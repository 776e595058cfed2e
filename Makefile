# Targets that use the virtual environment first update it if requirements.lock
# or a pyproject.toml changed.

PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
PACKAGES := model policy platform state peers gateway entry standins cli
MODULES := $(addprefix magnoliacrank.,$(PACKAGES))
SOURCES := packages $(wildcard bench tools)

.PHONY: all setup demo test format lint types imports generate bench capacity \
	check-histories binary clean

all: test

setup: $(STAMP)

$(STAMP): requirements.lock $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --require-hashes -r requirements.lock
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
		$(foreach name,$(PACKAGES),-e packages/$(name))
	touch $@

demo: $(STAMP)
	$(BIN)/magnoliacrank demo

test: $(STAMP)
	$(BIN)/python -m pytest

check-histories: $(STAMP)
	$(BIN)/python -m pytest -m histories --durations=10

format: $(STAMP)
	$(BIN)/ruff format $(SOURCES)
	$(BIN)/ruff check --fix $(SOURCES)

lint: $(STAMP)
	$(BIN)/ruff format --check $(SOURCES)
	$(BIN)/ruff check $(SOURCES)

types: $(STAMP)
	$(BIN)/mypy $(foreach module,$(MODULES),-p $(module))

imports: $(STAMP)
	$(BIN)/lint-imports

bench: bench-decisions bench-hop

.PHONY: bench-decisions bench-hop
bench-decisions: $(STAMP)
	$(BIN)/python -m bench.decisions

bench-hop: $(STAMP)
	$(BIN)/python -m bench.hop

.PHONY: bench-logs
bench-logs: $(STAMP)
	$(BIN)/python -m bench.logs

.PHONY: bench-moves
bench-moves: $(STAMP)
	$(BIN)/python -m bench.moves

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity.peers_slopes
	$(BIN)/python -m bench.capacity.crew_changes
	$(BIN)/python -m bench.capacity.state_slopes
	$(BIN)/python -m bench.capacity.policy_slopes
	$(BIN)/python -m bench.capacity.serve_idle

# The generated files are committed: run this only after a change to peer.proto.
generate: $(STAMP)
	cd packages/peers/src && $(abspath $(BIN))/python -m grpc_tools.protoc \
		-I. --python_out=. --pyi_out=. --grpc_python_out=. \
		magnoliacrank/peers/wire/peer.proto

clean:
	rm -rf $(VENV) dist build .mypy_cache .ruff_cache

.PHONY: lock
lock:
	mkdir -p build
	$(BIN)/pip install --dry-run --ignore-installed --quiet \
		--report build/report.json -r requirements-dev.in
	$(BIN)/python tools/lock.py build/report.json > requirements.lock
	$(BIN)/pip install --dry-run --ignore-installed --quiet \
		--report build/report.json -r requirements.in
	$(BIN)/python tools/lock.py build/report.json \
		> requirements-runtime.lock

# Builds one executable file with the runtime dependencies and all packages.
binary: dist/magnoliacrank

SITE := build/site
SITE_STAMP := build/site.installed

$(SITE_STAMP): $(STAMP) requirements-runtime.lock
	rm -rf $(SITE)
	$(BIN)/pip install --quiet --require-hashes --no-deps \
		--target $(SITE) -r requirements-runtime.lock
	touch $@

dist/magnoliacrank: $(SITE_STAMP) $(shell find packages/*/src -name '*.py')
	rm -rf $(SITE)/magnoliacrank $(SITE)/magnoliacrank_*
	$(BIN)/pip install --quiet --no-deps --no-build-isolation \
		--target $(SITE) $(foreach name,$(PACKAGES),./packages/$(name))
	find $(SITE) -name direct_url.json -delete
	$(BIN)/python tools/build_binary.py $(SITE)
	SHIV_ROOT=build/unpacked dist/magnoliacrank --help > build/help.txt
