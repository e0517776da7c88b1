PYTHON ?= python3
VENV ?= .venv
BIN := $(VENV)/bin

.PHONY: trial test check bench soak simulation binary binary-check proto clean

trial: $(VENV)/run  ## Run the whole system in one process and print a table.
	$(BIN)/python -m pollenfork trial

test: $(VENV)/dev  ## Run every test.
	$(BIN)/python -m pytest -n 4 --dist worksteal

check: $(VENV)/dev  ## Formatter, linter and type checker.
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

bench: $(VENV)/dev  ## Measure every slope; writes benchmarks/results/*.json.
	$(BIN)/python -m benchmarks

SEEDS ?= 1000-1009

soak: $(VENV)/dev  ## Play random faults against real gateways; SEEDS=first-last.
	$(BIN)/python -m pollenfork.platform.tests.soak --seeds $(SEEDS)

simulation: $(VENV)/dev  ## Play schedules of news through whole sites; SEEDS=first-last.
	$(BIN)/python -m pollenfork.platform.tests.simulation --seeds $(SEEDS)

binary: $(VENV)/run  ## Build dist/pollenfork, one file; see docs/design/binary.md.
	$(BIN)/python -m bundle.build dist/pollenfork

binary-check: $(VENV)/dev binary  ## Build the one file and test it.
	$(BIN)/python -m pytest bundle/tests

SLICE := pollenfork/membership

proto: $(VENV)/dev  ## Generate the peers' gRPC code anew (it is committed).
	$(BIN)/python -m pip install -q --disable-pip-version-check grpcio-tools==1.85.1
	$(BIN)/python -m grpc_tools.protoc -I $(SLICE) --python_out=$(SLICE) --grpc_python_out=$(SLICE) $(SLICE)/peer.proto
	sed -i 's/^import peer_pb2 as/from pollenfork.membership import peer_pb2 as/' $(SLICE)/peer_pb2_grpc.py

$(VENV)/run: requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install -q --disable-pip-version-check -r requirements.txt
	touch $@

$(VENV)/dev: $(VENV)/run requirements-dev.txt
	$(BIN)/python -m pip install -q --disable-pip-version-check -r requirements-dev.txt
	touch $@

clean:
	rm -rf $(VENV) build dist .pytest_cache .mypy_cache .ruff_cache
