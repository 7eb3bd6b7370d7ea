use std::path::Path;
use std::process::Command;

use lentilcart_bench::cluster::binary;

/// Checks a ticket of the folder `examples`.
fn check(name: &str) {
    let file = Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../examples")
        .join(name);
    let output = Command::new(binary("lentilcart"))
        .args(["submit", "--check"])
        .arg(file)
        .output()
        .unwrap();
    let printed = String::from_utf8_lossy(&output.stderr).into_owned();
    assert!(output.status.success(), "{printed}");
}

#[test]
fn ticket_traviesas() {
    check("traviesas.toml");
}

#[test]
fn ticket_zarnica() {
    check("zarnica.toml");
}
