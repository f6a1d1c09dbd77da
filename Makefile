# The two commands that set up a fresh machine are `make demo` and `make test`.
PYTHON ?= python3
VENV := .venv
RUN := $(VENV)/bin/python
PACKAGES := damsonlane damsonlane_rpc damsonlaned damsonlane_cli damsonlane_bench
SOURCES := packages platform tools

.PHONY: demo test check fuzz soak capacity measure box-cost clean

demo: $(VENV)/made
	$(RUN) -m damsonlane_bench.demo
	$(RUN) -m damsonlane_bench.routes

test: $(VENV)/made
	HYPOTHESIS_STORAGE_DIRECTORY=$(VENV)/hypothesis $(RUN) tools/run_tests.py

check: $(VENV)/made
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)
	$(VENV)/bin/mypy $(addprefix packages/,$(addsuffix /src,$(PACKAGES))) platform/src tools

$(VENV)/made: constraints.txt requirements.txt $(wildcard packages/*/pyproject.toml) platform/pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip install -q -r constraints.txt
	$(VENV)/bin/pip install -q -c constraints.txt --no-build-isolation -r requirements.txt $(addprefix -e packages/,$(PACKAGES)) -e platform
	touch $@

# Each prints its figures; they stand in docs/ with the date of the run.
capacity: $(VENV)/made
	$(RUN) -m damsonlane_bench.capacity

measure: $(VENV)/made
	$(RUN) -m damsonlane_bench.policy
	$(RUN) -m damsonlane_bench.overhead

box-cost: $(VENV)/made
	$(RUN) -m damsonlane_platform.tests.box_cost

fuzz: $(VENV)/made
	$(RUN) tools/fuzz.py

# make soak SEED=11, or SEED=1 SEEDS=50; each plan is written to run/soak before it is played.
# More processes: SIZE="--controls=5 --entries=20 --targets=30".
SEED ?= 1
SEEDS ?= 1
SIZE ?=
soak: $(VENV)/made
	$(RUN) -m damsonlane_bench.soak --seed=$(SEED) --seeds=$(SEEDS) $(SIZE)

clean:
	rm -rf $(VENV)
