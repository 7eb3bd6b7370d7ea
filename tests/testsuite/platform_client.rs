//! Calls of the client of the ticket platform.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener};
use std::time::Duration;

use lentilcart::platform::{PlatformClient, create_platform_client};
use tokio_util::task::TaskTracker;

/// Time within which the platform must answer.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// Accepts one connection, takes a call with `marker` in its last part, and returns the call.
fn take_call(listener: &TcpListener, marker: &str) -> String {
    let (mut stream, _) = listener.accept().unwrap();
    let mut call = Vec::new();
    while !String::from_utf8_lossy(&call).contains(marker) {
        let mut bytes = [0; 1024];
        let count = stream.read(&mut bytes).unwrap();
        assert!(count > 0, "the call ends early");
        call.extend_from_slice(&bytes[..count]);
    }
    let response = b"HTTP/1.1 204 No Content\r\nconnection: close\r\n\r\n";
    stream.write_all(response).unwrap();
    String::from_utf8(call).unwrap()
}

/// Makes a call to a platform, and returns its text up to `marker` and what came with that.
async fn record_call(marker: &'static str, call: impl AsyncFnOnce(PlatformClient)) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address: SocketAddr = listener.local_addr().unwrap();
    let platform = std::thread::spawn(move || take_call(&listener, marker));
    let client = create_platform_client(address, address.ip(), CALL_TIMEOUT, TaskTracker::new());
    call(client).await;
    platform.join().unwrap()
}

/// Guards against a lease that ends at once and a watch that does not wait, where their time is less than a
/// millisecond.
#[tokio::test]
async fn times_are_rounded_up_to_milliseconds() {
    for (micros, millis) in [(0, 0), (1, 1), (1000, 1), (1001, 2)] {
        let time = Duration::from_micros(micros);
        let call = record_call("\r\n\r\n", async |client: PlatformClient| {
            (client.watch_key)(("head".into(), 7, time)).await;
        })
        .await;
        let expected = format!("GET /watch/head?version=7&wait_ms={millis} ");
        assert!(call.starts_with(&expected), "{call}");
        let call = record_call("\r\n\r\n", async |client: PlatformClient| {
            (client.watch_hosts)((7, time)).await;
        })
        .await;
        let expected = format!("GET /hosts?version=7&wait_ms={millis} ");
        assert!(call.starts_with(&expected), "{call}");
        let call = record_call("}", async |client: PlatformClient| {
            (client.acquire_lease)(("claim".into(), "e1".into(), time))
                .await
                .ok();
        })
        .await;
        let expected = format!("\"ttl_ms\":{millis}}}");
        assert!(call.ends_with(&expected), "{call}");
    }
}
