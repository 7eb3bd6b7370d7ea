use std::path::Path;
use std::process::Command;

use lentilcart_bench::cluster::binary_path;

/// Checks that `lentilcart submit --check` accepts a ticket of the folder `examples`.
fn check_example(name: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name);
    let output = Command::new(binary_path("lentilcart"))
        .args(["submit", "--check"])
        .arg(file)
        .output()
        .unwrap();
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{printed}");
}

#[test]
fn submit_check_accepts_traviesas() {
    check_example("traviesas.toml");
}

#[test]
fn submit_check_accepts_zarnica() {
    check_example("zarnica.toml");
}
