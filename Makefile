# Everything needs only Python 3.11, pip and make; VENV may name an
# environment that exists already.
VENV ?= .venv
PYTHON ?= python3
RUN = PYTHONPATH=. $(VENV)/bin/python
SEED ?= 1

.PHONY: build install test demo generate format bench bench-quick chaos soak \
	mutations

install: $(VENV)/installed

$(VENV)/installed: requirements.lock pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/python -m pip install --quiet --requirement requirements.lock
	$(VENV)/bin/python -m pip install --quiet --no-deps --editable .
	touch $@

# The tests start the daemon as the deploy file does.
build:
	sh deploy/build.sh

test: install build
	$(VENV)/bin/ruff format --check .
	$(VENV)/bin/ruff check .
	$(RUN) tools/generate.py --check
	$(RUN) -m pytest

generate: install
	$(RUN) tools/generate.py

format: install
	$(VENV)/bin/ruff format .
	$(VENV)/bin/ruff check --fix .

demo: install
	$(RUN) tools/demo.py

chaos: install
	$(RUN) tools/chaos.py --seed $(SEED)

soak: install build
	$(RUN) tools/soak.py --seed $(SEED)

bench: install
	$(RUN) benchmarks/run.py --seed $(SEED)

bench-quick: install
	$(RUN) benchmarks/run.py --seed $(SEED) --quick

mutations: install
	$(RUN) tools/mutations.py
