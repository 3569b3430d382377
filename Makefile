VENV ?= .venv
PYTHON := $(VENV)/bin/python

.PHONY: setup test format demo binary measure explore explore-faults

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.lock
	test -x $(PYTHON) || python3 -m venv $(VENV)
	$(PYTHON) -m pip install --quiet --requirement requirements.lock
	touch $@

test: setup
	$(PYTHON) -m tools.checks

format: setup
	$(PYTHON) -m black --quiet .
	$(PYTHON) -m ruff check --quiet --fix .

# One file that runs as one process; docs/operators.md has the reasons for its form.
binary: setup
	$(PYTHON) -m tools.binary

demo: setup
	$(PYTHON) -m tools.demo

# Longer search over interleavings; docs/exploration.md describes it.
SECONDS ?= 300
SEED ?= 1
explore: setup
	$(PYTHON) -m explorer --seed $(SEED) --steps 300 --walks 1000000 --seconds $(SECONDS)

# Table of docs/exploration.md: one search for each fault that is put in on purpose.
explore-faults: setup
	for fault in $$($(PYTHON) -m explorer --list-faults | cut -d: -f1); do \
		$(PYTHON) -m explorer --row --fault $$fault --seed $(SEED) --steps 300 \
			--walks 1000000 --seconds $(SECONDS) || true; \
	done

# One part: make measure PART=agreement
measure: setup
	$(PYTHON) -m measure $(PART)
