# Variables of `make bench`: SCENARIO, SEED, SECONDS (duration), POLICY (comma-separated list; by
# default every policy), FIRM (client account, `tenant` in tickets) and REPORT (folder of the plots).
SCENARIO ?= steady
SEED ?= 1
SECONDS_ = $(if $(SECONDS),--seconds $(SECONDS))
POLICY_ = $(if $(POLICY),--policy $(POLICY))
FIRM_ = $(if $(FIRM),--firm $(FIRM))
REPORT_ = $(if $(REPORT),--report $(REPORT))
# Arguments of the test binaries for `make test`, such as `--skip NAME`.
SKIP ?=

.PHONY: try test bench lint spin

# Runs the whole request path in one process, against stubs, and prints a table.
try:
	cargo build --release --workspace
	RUST_LOG=warn target/release/lentilcart-bench try

# Runs every test; installs the package `spin` if it is missing.
test: spin
	cargo build --workspace
	cargo test --workspace -- $(SKIP)
	spec/check

# Runs one scenario of the bench with every policy, or with those of POLICY.
bench:
	cargo build --release --workspace
	RUST_LOG=warn target/release/lentilcart-bench bench --scenario $(SCENARIO) --seed $(SEED) \
		$(SECONDS_) $(POLICY_) $(FIRM_) $(REPORT_)

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets -- -D warnings
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps

# Installs spin, the model checker that spec/check runs, if it is missing.
spin:
	@command -v spin >/dev/null || (apt-get update -qq && apt-get install -y -qq spin)
