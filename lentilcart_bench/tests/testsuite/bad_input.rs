use std::process::Command;

use expect_test::{Expect, expect};
use lentilcart_bench::cluster::binary_path;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::cluster::{format_variant_ticket, small_layout, start_cluster};

/// Flags that the daemon accepts.
const VALID_ARGS: [&str; 14] = [
    "--name",
    "e",
    "--data-center",
    "a",
    "--platform",
    "127.0.0.1:1",
    "--callers",
    "127.0.0.1:2",
    "--peer",
    "127.0.0.1:3",
    "--ops",
    "127.0.0.1:4",
    "--source",
    "127.0.0.1",
];

/// Checks the exit code and the output of a program, which runs without environment variables.
fn check_output(program: &str, args: &[&str], expected: &Expect) {
    let output = Command::new(binary_path(program))
        .args(args)
        .env_clear()
        .output()
        .unwrap();
    let text = format!(
        "code {}\n{}{}",
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    expected.assert_eq(&text);
}

#[test]
fn command_unknown_flag() {
    let expected = expect![[r"
        code 2
        --colour: unknown flag; see --help
    "]];
    check_output(
        "lentilcart",
        &["status", "--platform", "127.0.0.1:1", "--colour"],
        &expected,
    );
}

#[test]
fn command_unreadable_platform() {
    let expected = expect![[r#"
        code 2
        --platform = "platform": expected an IP address and a port, such as "http://10.0.0.1:2379"
    "#]];
    check_output(
        "lentilcart",
        &["status", "--platform", "platform"],
        &expected,
    );
}

#[test]
fn command_missing_subcommand() {
    let expected = expect![[r"
        code 2
        a command is missing; see --help
    "]];
    check_output("lentilcart", &[], &expected);
}

#[test]
fn daemon_unknown_flag() {
    let expected = expect![[r"
        code 2
        --colour: unknown flag; see --help
        red: unknown flag; see --help
    "]];
    check_output(
        "lentilcartd",
        &[&VALID_ARGS[..], &["--colour", "red"]].concat(),
        &expected,
    );
}

#[test]
fn daemon_reports_all_errors() {
    let args = [
        "--callers",
        "here",
        "--heartbeat",
        "50",
        "--platform",
        "x",
        "--name",
        "",
    ];
    let expected = expect![[r#"
        code 2
        --data-center: missing; give the flag or LENTILCART_DATA_CENTER: data centre that this host stands in
        --peer: missing; give the flag or LENTILCART_PEER: address that serves other entries, IP:PORT
        --ops: missing; give the flag or LENTILCART_OPS: address that serves operators, IP:PORT
        --callers (LENTILCART_CALLERS) = "here": expected an IP address and a port, such as 10.0.0.1:8080
        --name (LENTILCART_NAME) = "": expected a name that is not empty
        --platform (LENTILCART_PLATFORM) = "x": expected an IP address and a port, such as "http://10.0.0.1:2379"
        --heartbeat (LENTILCART_HEARTBEAT) = "50": expected a time with its unit, such as 250ms
    "#]];
    check_output("lentilcartd", &args, &expected);
}

#[test]
fn daemon_check_accepts_valid() {
    let expected = expect![[r"
        code 0
        settings are valid
    "]];
    check_output(
        "lentilcartd",
        &[&VALID_ARGS[..], &["--check"]].concat(),
        &expected,
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn request_malformed_is_rejected() {
    let cluster = start_cluster(small_layout(), "near1-over2").await;
    let address = cluster.layout.get_caller_address(0);
    let long = "x".repeat(40_000);
    let cases = [
        ("GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n".to_owned(), "404"),
        (format!("GET /catalogue/1 HTTP/1.1\r\nhost: a\r\nx-long: {long}\r\n\r\n"), "431"),
        (
            "POST /catalogue/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab"
                .to_owned(),
            "400",
        ),
        ("GET /catalogue/1 HTTP/1.1\r\nhost: a\r\nx-a: 1\r\n folded\r\n\r\n".to_owned(), "400"),
        ("GET /catalogue/1 HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n".to_owned(), "400"),
    ];
    for (request, status) in cases {
        let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = [0; 12];
        stream.read_exact(&mut response).await.unwrap();
        let head = &request[..request.len().min(80)];
        assert_eq!(&response[9..12], status.as_bytes(), "{head}");
    }
    cluster.stop().await;
}

/// Guards against request smuggling: with both a content length and chunks, the chunks count and the
/// connection is closed (RFC 9112, section 6.3), so the bytes after the chunks are no second request.
#[tokio::test(flavor = "multi_thread")]
async fn request_both_lengths_no_smuggling() {
    let cluster = start_cluster(small_layout(), "near1-over2").await;
    let address = cluster.layout.get_caller_address(0);
    let hidden = "GET /nowhere HTTP/1.1\r\nhost: a\r\n\r\n";
    let request = format!(
        "POST /catalogue/1 HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\nx-id: i\r\nx-size: 3\r\n\
         transfer-encoding: chunked\r\n\r\n1\r\nA\r\n0\r\n\r\n{hidden}"
    );
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = Vec::new();
    let reading = stream.read_to_end(&mut response);
    tokio::time::timeout(std::time::Duration::from_secs(20), reading)
        .await
        .unwrap()
        .unwrap();
    let response = String::from_utf8_lossy(&response).into_owned();
    assert!(response.ends_with("65:i.i"), "{response}");
    assert_eq!(response.matches("HTTP/1.1").count(), 1, "{response}");
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn submit_invalid_writes_nothing() {
    let cluster = start_cluster(small_layout(), "near1-over2").await;
    let text = format_variant_ticket(&cluster.layout, "near1-over2", 1);
    let server = cluster.layout.get_server_addresses(0)[0];
    let wrong_unit = text.replacen("deadline = \"10s\"", "deadline = \"10 parsecs\"", 1);
    let doubled = text.replacen(
        "[[service.server]]",
        &format!("[[service.server]]\naddress = \"{server}\"\ndata_center = \"oviedo\"\n[[service.server]]"),
        1,
    );
    for (ticket, expected) in [
        (
            wrong_unit,
            "line 20: service[catalogue].route[/catalogue].deadline = \"10 parsecs\": expected a time",
        ),
        (doubled, "the server is listed twice in the service"),
        (
            text.replacen("homes", "houses", 1),
            "service[catalogue].houses = houses: unknown field",
        ),
        ("base = 1\nbase = 2\n".to_owned(), "duplicate key"),
        (
            text.replacen("base = 1", "base = 9", 1),
            "base = 9: the latest accepted ticket is 1",
        ),
    ] {
        let output = cluster.submit(&ticket).await;
        let printed = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!(output.status.code(), Some(1), "{printed}");
        assert!(
            printed.contains(expected),
            "{printed}\nshould contain\n{expected}"
        );
    }
    assert_eq!(cluster.get_status(0).await.unwrap().number, 1);
    cluster.stop().await;
}
