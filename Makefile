VENV ?= .venv
PYTHON := $(VENV)/bin/python

.PHONY: setup test format demo binary measure

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

# One part: make measure PART=agreement
measure: setup
	$(PYTHON) -m measure $(PART)
