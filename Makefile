PYTHON ?= python3
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed
TEST_PROCESSES := 4

.PHONY: demo test lint format bench matrix soak job-soak slopes generate process-soak

$(STAMP): pyproject.toml constraints.txt
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install -q --disable-pip-version-check -c constraints.txt -e '.[dev]'
	touch $(STAMP)

demo: $(STAMP)
	$(BIN)/python -m benchmarks.demo

test: $(STAMP)
	$(BIN)/python -m pytest -n $(TEST_PROCESSES) --dist loadgroup

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

matrix: $(STAMP)
	$(BIN)/python -m benchmarks.matrix

bench: $(STAMP)
	$(BIN)/python -m benchmarks.bench
	$(BIN)/python -m benchmarks.job_core
	$(BIN)/python -m benchmarks.placement_rounds
	$(BIN)/python -m benchmarks.organisations

slopes: $(STAMP)
	$(BIN)/python -m benchmarks.slopes

soak: $(STAMP)
	$(BIN)/python -m benchmarks.soak

job-soak: $(STAMP)
	$(BIN)/python -m benchmarks.job_soak
	$(BIN)/python -m benchmarks.job_soak --kind store
	$(BIN)/python -m benchmarks.job_soak --kind vms
	$(BIN)/python -m benchmarks.job_soak --kind lives
	$(BIN)/python -m benchmarks.job_soak --kind jobs
	$(BIN)/python -m benchmarks.job_soak --kind leases
	$(BIN)/python -m benchmarks.job_soak --kind steps
	$(BIN)/python -m benchmarks.job_soak --kind connections
	$(BIN)/python -m benchmarks.job_soak --kind spread
	$(BIN)/python -m benchmarks.job_soak --kind placement
	$(BIN)/python -m benchmarks.job_soak --kind recuts
	$(BIN)/python -m benchmarks.job_soak --kind backlog
	$(BIN)/python -m benchmarks.job_soak --kind terms

process-soak: $(STAMP)
	$(BIN)/python -m benchmarks.process_soak
	$(BIN)/python -m benchmarks.process_soak --seed 2 --faults vms
	$(BIN)/python -m benchmarks.process_soak --seed 3 --faults links
	$(BIN)/python -m benchmarks.process_soak --seed 4 --faults lives
	$(BIN)/python -m benchmarks.process_soak --seed 5 --vms 12 --faults leases
	$(BIN)/python -m benchmarks.process_soak --seed 6 --faults connections
	$(BIN)/python -m benchmarks.process_soak --seed 7 --faults spread
	$(BIN)/python -m benchmarks.process_soak --seed 8 --vms 12 --faults recuts
	$(BIN)/python -m benchmarks.kept_soaks

generate: $(STAMP)
	$(BIN)/python -m grpc_tools.protoc -Isrc --python_out=src --grpc_python_out=src --pyi_out=src src/sablemount/peer/peer.proto
