# Entry points; README.md describes each of them.
DEPLOYMENT ?= registry
SEED ?= 1
CASES ?= 2000

.PHONY: build release test demo bench scale fuzz

build:
	cargo build --workspace --locked

release:
	cargo build --workspace --locked --release

test:
	cargo test --workspace --locked

demo: release
	./target/release/tansylead-lab demo --deployment $(DEPLOYMENT)

bench: release
	./target/release/tansylead-lab experiment examples/experiments/standard.toml

scale: release
	./target/release/tansylead-lab scale

fuzz:
	./.ci/fuzz $(SEED) $(CASES)
