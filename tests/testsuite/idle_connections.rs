//! Connections of the HTTP client.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc;
use std::time::Duration;

use hyper::Request;
use lentilcart::{HttpClient, full_body};
use tokio_util::task::TaskTracker;

/// Reads the head of a request, which ends with an empty line, and answers it with a header line.
fn answer_blocking(stream: &mut TcpStream, line: &str) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        let mut byte = [0];
        stream.read_exact(&mut byte).unwrap();
        head.push(byte[0]);
    }
    write_blocking(stream, line);
}

fn write_blocking(stream: &mut TcpStream, line: &str) {
    let response = format!("HTTP/1.1 200 OK\r\n{line}\r\ncontent-length: 0\r\n\r\n");
    stream.write_all(response.as_bytes()).unwrap();
}

/// Guards against a request that is written to a connection whose next bytes have arrived already, while
/// the only thread of the runtime was busy: they are taken for its answer.
#[tokio::test]
async fn connection_with_bytes_waiting_is_not_used() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let (late, is_late) = mpsc::channel();
    let (written, is_written) = mpsc::channel();
    std::thread::spawn(move || {
        let (mut first, _) = listener.accept().unwrap();
        answer_blocking(&mut first, "x-number: 1");
        is_late.recv().unwrap();
        write_blocking(&mut first, "x-number: late");
        written.send(()).unwrap();
        let (mut second, _) = listener.accept().unwrap();
        answer_blocking(&mut second, "x-number: 2");
    });
    let client = HttpClient::new(address.ip(), TaskTracker::new());
    let send = async || {
        let builder = Request::builder().uri("/x").header("host", "shop.example");
        let request = builder.body(full_body("")).unwrap();
        let received = client.send(address, request).await.unwrap();
        // Without a body the response has been read completely.
        let response = received.into_streamed(|_| ());
        response.headers()["x-number"].to_str().unwrap().to_owned()
    };
    assert_eq!(send().await, "1");
    // The runtime does not run meanwhile.
    late.send(()).unwrap();
    is_written.recv().unwrap();
    std::thread::sleep(Duration::from_millis(20));
    assert_eq!(send().await, "2");
}
