//! Client of servers: when a connection is used again, and what is left of one that is not.

use std::net::IpAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::Request;
use lentilcart::{HttpClient, full_body};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;
use tokio_util::task::TaskTracker;

/// Reads the head of a request.
async fn read_head(stream: &mut TcpStream) {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.unwrap());
    }
}

/// Guards against a server that answers without reading the request, on whose connection the next request
/// then waits for ever, and which keeps the body of the first in memory.
#[tokio::test]
async fn unread_request_body_does_not_hold_next_request() {
    const BODY_BYTES: usize = 64 * 1024 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (answered, mut is_answered) = watch::channel(false);
    let server = tokio::spawn(async move {
        let respond = async |stream: &mut TcpStream| {
            let response = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
            stream.write_all(response).await.unwrap();
        };
        let (mut first, _) = listener.accept().await.unwrap();
        read_head(&mut first).await;
        respond(&mut first).await;
        let (mut second, _) = listener.accept().await.unwrap();
        read_head(&mut second).await;
        respond(&mut second).await;
        is_answered.wait_for(|is_set| *is_set).await.unwrap();
        let mut rest = Vec::new();
        first.read_to_end(&mut rest).await.ok();
        rest.len()
    });
    let client = HttpClient::new(IpAddr::from([127, 0, 0, 1]), TaskTracker::new());
    for size in [BODY_BYTES, 0] {
        let request = Request::post("/").header("host", "shop.example");
        let request = request.body(full_body(vec![b'm'; size])).unwrap();
        let send = timeout(Duration::from_secs(10), client.send(address, request));
        let received = send.await.expect("the request waits").unwrap();
        let mut body = received.into_streamed(|_| ()).into_body();
        while let Some(frame) = body.frame().await {
            frame.unwrap();
        }
    }
    answered.send_replace(true);
    let rest = server.await.unwrap();
    assert!(rest < BODY_BYTES, "all of the body was sent");
}
