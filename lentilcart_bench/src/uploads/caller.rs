use std::net::SocketAddr;
use std::time::Duration;

use lentilcart_platform::HEADER_NAMES;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Bytes that are written at once.
const CHUNK_BYTES: usize = 64 * 1024;
/// Length of the start of an answer that shows its status, such as `HTTP/1.1 200`.
const STATUS_LINE_BYTES: usize = 12;

/// Host of the routes.
pub(super) const HOST: &str = "uploads.example";

/// Sends a request with a body of `length` bytes on a new connection, and reads the status of the answer
/// when all has been written; `None` if there is no answer within the deadline.
pub(super) async fn send(
    address: SocketAddr,
    path: &str,
    id: &str,
    length: usize,
    deadline: Duration,
) -> Option<u16> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        let head = format!(
            "POST {path} HTTP/1.1\r\nhost: {HOST}\r\n{}: {id}\r\n{}: {}\r\ncontent-length: {length}\r\n\r\n",
            HEADER_NAMES.request_id,
            HEADER_NAMES.deadline,
            deadline.as_millis()
        );
        stream.write_all(head.as_bytes()).await.ok()?;
        let chunk = vec![b'x'; CHUNK_BYTES.min(length)];
        let mut rest = length;
        while rest > 0 {
            let part = rest.min(chunk.len());
            stream.write_all(&chunk[..part]).await.ok()?;
            rest -= part;
        }
        let mut start = [0; STATUS_LINE_BYTES];
        stream.read_exact(&mut start).await.ok()?;
        std::str::from_utf8(&start[9..]).ok()?.parse().ok()
    };
    timeout(deadline, exchange).await.ok().flatten()
}

/// Sends small requests at a rate until `end`; returns the latencies of those that were served, and the
/// number of the others.
pub(super) async fn send_small(
    address: SocketAddr,
    path: &'static str,
    rate: f64,
    end: Instant,
    deadline: Duration,
) -> (Vec<Duration>, usize) {
    let mut tasks = tokio::task::JoinSet::new();
    let mut timer = tokio::time::interval(Duration::from_secs_f64(1.0 / rate));
    for number in 0.. {
        timer.tick().await;
        if Instant::now() >= end {
            break;
        }
        tasks.spawn(async move {
            let start = Instant::now();
            let status = send(address, path, &format!("small{number}"), 1000, deadline).await;
            (status == Some(200)).then(|| start.elapsed())
        });
    }
    let results = tasks.join_all().await;
    let count = results.len();
    let latencies: Vec<Duration> = results.into_iter().flatten().collect();
    let unserved = count - latencies.len();
    (latencies, unserved)
}
