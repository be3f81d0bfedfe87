# What a developer does here. `make fleet` in one terminal and `make run` in another try the pilot out.

CONFIG ?= examples/pilot.json

.PHONY: build test lint run fleet ci

build:
	cargo build --release --workspace --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run:
	ROUTER_CONFIG=$(CONFIG) cargo run --release --locked --package dahliaroad-pilot

fleet:
	cargo run --release --locked --package dahliaroad-toyfleet -- $(CONFIG)

ci:
	.ci/run
