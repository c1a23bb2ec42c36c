# build, test, lint and run; everything else is cargo's.
CONFIG ?= config.json

.PHONY: build test lint run

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	NODE_CONFIG=$(CONFIG) target/release/oatpitch
