# What a developer does here. `make fleet` in one terminal and `make run` in another try the controller out; `make registry`
# and `make run-registry` let it learn its endpoints from a registry.

CONFIG ?= demo/controller.json
OPTIONS ?= demo/registry.xml

.PHONY: build test lint run run-registry fleet registry measure ci

build:
	cargo build --release --workspace --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run:
	ROUTER_CONFIG=$(CONFIG) cargo run --release --locked --package dahliaroad-controller

run-registry:
	ROUTER_CONFIG=$(CONFIG) cargo run --release --locked --package dahliaroad-controller -- --options $(OPTIONS)

registry:
	cargo run --release --locked --package dahliaroad-fakes --bin fake-registry -- --fill-from 127.0.0.1:9401

measure: build
	cargo run --release --locked --package dahliaroad-benchmarks -- registry
	cargo run --release --locked --package dahliaroad-benchmarks -- module

fleet:
	cargo run --release --locked --package dahliaroad-demo -- $(CONFIG)

ci:
	.ci/run
