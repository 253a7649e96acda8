PYTHON ?= python3
VENV ?= .venv
PACKAGES := laburnumscale-schema laburnumscale laburnumscaled laburnumscalectl
SOURCES := packages platform tests bench tools examples
PY := $(VENV)/bin/python
SEEDS ?= 1 2 3 4
SOAK_S ?= 120
PROTO_DIR := packages/laburnumscale-schema/proto
GENERATED_DIR := packages/laburnumscale-schema/src

empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)/src)):$(CURDIR)/platform:$(CURDIR)
export PYTHONDONTWRITEBYTECODE := 1

.PHONY: venv demo test features check format generate check-generated settings-page \
	metrics-page \
	soak bench bench-settings bench-capacity clean

venv: $(VENV)/.stamp

$(VENV)/.stamp: constraints.txt requirements.txt $(wildcard packages/*/pyproject.toml)
	$(PYTHON) -m venv $(VENV)
	$(PY) -m pip install -q --disable-pip-version-check -c constraints.txt -r requirements.txt
	$(PY) -m pip install -q --disable-pip-version-check --no-build-isolation --no-deps \
		$(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@

demo: venv
	$(PY) tools/demo.py

test: check check-generated features

check: venv
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)
	$(PY) -m tools.settings_page --check
	$(PY) -m tools.metrics_page --check

format: venv
	$(VENV)/bin/ruff format $(SOURCES)
	$(VENV)/bin/ruff check --fix $(SOURCES)

settings-page: venv
	$(PY) -m tools.settings_page

metrics-page: venv
	$(PY) -m tools.metrics_page

bench: venv
	$(PY) -m bench.performance
	$(PY) -m bench.performance --profile
	$(PY) -m bench.transport

bench-capacity: venv
	$(PY) -m bench.capacity

generate: venv
	$(PY) tools/generate.py $(PROTO_DIR) $(GENERATED_DIR)
	$(PY) -m tools.settings_page

check-generated: venv
	$(PY) tools/generate.py --check $(PROTO_DIR) $(GENERATED_DIR)

features: venv
	$(PY) tools/run_features.py

bench-settings: venv
	$(PY) bench/settings.py
soak: venv
	for seed in $(SEEDS); do SEED=$$seed SOAK_S=$(SOAK_S) \
		$(PY) -m behave --no-capture tests/features/outcomes_load.feature \
		-n "random faults, together and twice" || exit 1; done

.PHONY: soak-clients
soak-clients: venv
	failed=0; for seed in $(SEEDS); do SEED=$$seed \
		$(PY) -m behave --no-capture tests/features/random_clients.feature \
		|| failed=1; done; exit $$failed

.PHONY: soak-faults
soak-faults: venv
	failed=0; for seed in $(SEEDS); do SEED=$$seed \
		$(PY) -m behave --no-capture tests/features/random_faults.feature \
		-n "@1.1" || failed=1; done; exit $$failed

clean:
	rm -rf $(VENV) build

.PHONY: bench-health
bench-health: venv
	$(PY) -m bench.health --policy evidence
	$(PY) -m bench.health --policy round-robin
	$(PY) -m bench.health --policy least-requests
	$(PY) -m bench.health --policy consecutive-errors

.PHONY: bench-members
bench-members: venv
	$(PY) -m bench.members
