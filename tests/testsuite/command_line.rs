//! Exit codes and output of the commands of `lentilcart`, without a platform.

use std::net::{Ipv4Addr, TcpListener};
use std::process::Command;

/// A ticket that is valid.
const TICKET: &str =
    "base = 0\n[[service]]\nname = \"s\"\ntenant = \"t\"\n[[service.route]]\nclass = \"once\"\n";

/// Runs a command without environment variables; returns its exit code, and its output with its errors.
fn run(args: &[&str]) -> (Option<i32>, String) {
    let output = Command::new(env!("CARGO_BIN_EXE_lentilcart"))
        .args(args)
        .env_clear()
        .output()
        .unwrap();
    let text = [output.stdout, output.stderr].concat();
    (
        output.status.code(),
        String::from_utf8_lossy(&text).into_owned(),
    )
}

/// Guards against a misspelt or misplaced flag that is taken for a file.
#[test]
fn explain_flag_after_id_is_unknown() {
    let (code, text) = run(&["explain", "a1", "--colour", "x.log"]);
    assert_eq!(code, Some(2), "{text}");
    assert_eq!(text, "--colour: unknown flag; see --help\n");
}

/// Guards against a check that fails for flags that the submission of the same ticket needs.
#[test]
fn submit_check_takes_shared_flags() {
    let name = format!("lentilcart-check-{}.toml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, TICKET).unwrap();
    let file = path.to_str().unwrap();
    let shared = ["--platform", "127.0.0.1:1", "--entries", "127.0.0.1:2"];
    let plain = run(&[&["submit", "--check", file], &shared[..]].concat());
    let json = run(&[&["submit", "--check", file, "--json"], &shared[..]].concat());
    let without = run(&["submit", "--check", file]);
    let wrong = run(&["submit", "--check", file, "--platform", "here"]);
    std::fs::remove_file(&path).unwrap();
    assert_eq!(plain, (Some(0), format!("{file}: valid\n")));
    assert_eq!(without, plain);
    let (code, text) = json;
    assert_eq!(code, Some(0), "{text}");
    let expected = serde_json::json!({ "file": file, "valid": true });
    assert_eq!(text, format!("{expected}\n"));
    let (code, text) = wrong;
    assert_eq!(code, Some(2), "{text}");
    assert!(text.starts_with("--platform = \"here\": "), "{text}");
}

/// Guards against a script that takes what some entries know for what all of them do.
#[test]
fn served_fails_where_entry_does_not_answer() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap();
    let entry = listener.local_addr().unwrap().to_string();
    drop(listener);
    let args = ["served", "--platform", "127.0.0.1:1", "--entries", &entry];
    for args in [args.to_vec(), [&args[..], &["--json"]].concat()] {
        let (code, text) = run(&args);
        assert_eq!(code, Some(1), "{text}");
        assert!(text.contains(&entry), "{text}");
        assert!(text.ends_with("1 of 1 entries do not answer\n"), "{text}");
    }
}
