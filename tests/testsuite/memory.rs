//! Memory of the daemon as a process, while servers, the store or callers send bytes without end.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use serde::Serialize;
use serde_with::base64::Base64;
use serde_with::serde_as;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Longest wait for a condition; only a broken daemon needs that long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(180);
/// Longest wait until a request is served while servers send bytes without end: ten times the timeout of its
/// route.
const SERVED_TIMEOUT: Duration = Duration::from_secs(30);
/// Last byte of the loopback address of the next daemon.
static NEXT_ADDRESS_BYTE: AtomicU8 = AtomicU8::new(1);

/// Item of the store, as in a page of a listing.
#[serde_as]
#[derive(Clone, Serialize)]
struct Item {
    key: String,
    #[serde_as(as = "Base64")]
    value: Vec<u8>,
    revision: u64,
}

/// A daemon as a child process; it is killed when dropped.
struct Daemon {
    child: Child,
    callers: SocketAddr,
    settings: PathBuf,
}

impl Daemon {
    /// Starts a daemon that uses the store at an address.
    fn start(store: SocketAddr) -> Self {
        let process = std::process::id();
        let [low, high] = [process % 250, process / 250 % 250].map(|byte| byte as u8 + 2);
        let last = NEXT_ADDRESS_BYTE.fetch_add(1, Ordering::SeqCst);
        let ip = Ipv4Addr::new(127, high, low, last);
        let at = |port: u16| SocketAddr::from((ip, port));
        let text = format!(
            r#"
            name = "e-{ip}"
            data-center = "z1"
            [listen]
            callers = "{}"
            ready = "{}"
            peer = "{}"
            ops = "{}"
            connections = 2000
            [store]
            address = "{store}"
            [retries]
            ratio = 0.2
            burst = 50
            [stop]
            grace = "6s"
            notice = "300ms"
            "#,
            at(7101),
            at(7102),
            at(7103),
            at(7104),
        );
        let settings = std::env::temp_dir().join(format!("lentilcart-memory-{ip}.toml"));
        std::fs::write(&settings, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_lentilcartd"))
            .env("LENTILCART_SETTINGS", &settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .spawn()
            .unwrap();
        Self {
            child,
            callers: at(7101),
            settings,
        }
    }

    /// Returns the largest resident memory so far, in MiB.
    fn get_peak_mib(&self) -> usize {
        let status = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(status).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let peak = line.unwrap().split_whitespace().nth(1).unwrap();
        peak.parse::<usize>().unwrap() / 1024
    }

    /// Sends a request and returns the status of the response; `None` if there is none.
    async fn send(&self, path: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.callers).await.ok()?;
        stream
            .write_all(format_request(path).as_bytes())
            .await
            .ok()?;
        let head = read_head(&mut stream).await?;
        head.split_whitespace().nth(1)?.parse().ok()
    }

    /// Waits until a request is answered with status 200.
    async fn wait_until_served(&self) {
        let served = async {
            while self.send("/safe/whole").await != Some(200) {
                tokio::time::sleep(Duration::from_millis(20)).await;
            }
        };
        let result = timeout(SERVED_TIMEOUT, served).await;
        result.expect("no request is served");
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_file(&self.settings).ok();
    }
}

fn format_request(path: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: shop.example\r\nx-attempt-id: a1\r\nx-deadline-ms: 5000\r\nconnection: close\r\n\r\n"
    )
}

/// Reads a head and the body that its length names; returns the head, or `None` if it is not complete.
async fn read_head(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    let mut lines = head.lines().map(str::to_ascii_lowercase);
    let length = lines.find_map(|line| line.strip_prefix("content-length:")?.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(head)
}

/// Stand-in for a store or a server.
struct StandIn {
    address: SocketAddr,
    /// Bytes of texts without end that the other side, or the buffers on the way to it, took.
    endless_bytes: Arc<AtomicUsize>,
}

impl StandIn {
    /// Starts a stand-in that answers each request, by its head, with a text, and then with a text without
    /// end if that is not empty.
    async fn start(respond: impl Fn(&str) -> (String, String) + Send + Sync + 'static) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let endless_bytes = Arc::<AtomicUsize>::default();
        let (respond, sent) = (Arc::new(respond), endless_bytes.clone());
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let (respond, sent) = (respond.clone(), sent.clone());
                tokio::spawn(async move {
                    while let Some(head) = read_head(&mut stream).await {
                        let (text, repeated) = respond(&head);
                        stream.write_all(text.as_bytes()).await.ok()?;
                        while !repeated.is_empty() {
                            stream.write_all(repeated.as_bytes()).await.ok()?;
                            sent.fetch_add(repeated.len(), Ordering::SeqCst);
                        }
                    }
                    Some(())
                });
            }
        });
        Self {
            address,
            endless_bytes,
        }
    }

    /// Waits until a number of bytes of texts without end were taken.
    async fn wait_until_taken(&self, bytes: usize) {
        let start = Instant::now();
        while self.endless_bytes.load(Ordering::SeqCst) < bytes {
            assert!(start.elapsed() < WAIT_TIMEOUT, "too few bytes are taken");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn format_json(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Starts a store with some items. A watch of `endless_prefix` is answered by a text and another without
/// end; other watches get no answer unless they must not wait.
async fn start_store(
    items: Vec<Item>,
    endless_prefix: &'static str,
    (text, repeated): (&'static str, &'static str),
) -> StandIn {
    StandIn::start(move |head| {
        let path = head.split_whitespace().nth(1).unwrap_or_default();
        let prefix = path.split("pathPrefix=").nth(1).unwrap_or_default();
        let prefix = prefix.split('&').next().unwrap_or_default();
        let reply = match path.split(['?', '/']).nth(1).unwrap_or_default() {
            "kv-range" => {
                let items: Vec<_> = items.iter().filter(|i| i.key.starts_with(prefix)).collect();
                let items = serde_json::to_string(&items).unwrap();
                format!(r#"{{"items":{items},"truncated":false,"storeRevision":7}}"#)
            }
            "kv-watch" if prefix == endless_prefix => {
                return (text.to_owned(), repeated.repeat(1000));
            }
            "kv-watch" if path.ends_with("waitMs=1") => {
                r#"{"events":[],"storeRevision":7}"#.to_owned()
            }
            "kv-watch" => return (String::new(), String::new()),
            "kv-txn" => r#"{"revision":7}"#.to_owned(),
            _ => r#"{"lease":1}"#.to_owned(),
        };
        (format_json(&reply), String::new())
    })
    .await
}

/// Guards against frames of one byte that are kept, each with its place in a list and the read buffer that
/// it came in: 32 MB of them, the largest reply, would be more than a gigabyte.
#[tokio::test]
async fn store_reply_of_small_chunks_stays_small() {
    let chunks = (
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
        "1\r\nm\r\n",
    );
    let store = start_store(Vec::new(), "servers/", chunks).await;
    let daemon = Daemon::start(store.address);
    store.wait_until_taken(1).await;
    let before = daemon.get_peak_mib();
    store.wait_until_taken(24 << 20).await;
    let growth = daemon.get_peak_mib() - before;
    assert!(growth < 16, "the peak grew by {growth} MiB");
}

/// Guards against memory that grows with what servers send, rather than with the number of requests: many
/// endless answers at the same time, to callers who read and to callers who do not.
#[tokio::test]
async fn many_endless_answers_stay_small() {
    let paths = [
        "/safe/body",
        "/safe/unread",
        "/safe/header",
        "/safe/interim",
        "/safe/chunk",
    ];
    let peak = send_endless_requests(&paths).await;
    assert!(peak < 128, "the peak is {peak} MiB");
}

/// Guards against interim responses without end that keep the thread busy, so that no other request is
/// served.
#[tokio::test]
async fn endless_interim_responses_leave_time_for_others() {
    send_endless_requests(&["/safe/interim"]).await;
}

/// Guards against the size of a chunk without end that keeps the thread busy, so that no other request is
/// served.
#[tokio::test]
async fn endless_chunk_size_leaves_time_for_others() {
    send_endless_requests(&["/safe/chunk"]).await;
}

/// Sends 200 requests at the same time to a server that answers without end, each by its path; checks that
/// other requests are served meanwhile, and returns the largest resident memory of the daemon, in MiB.
async fn send_endless_requests(paths: &[&'static str]) -> usize {
    const REQUESTS: usize = 200;
    let server = StandIn::start(|head| {
        let ok = "HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\nx-response-seal: s\r\n";
        let line = "m".repeat(10_000);
        match head.split_whitespace().nth(1).unwrap_or_default() {
            "/safe/body" | "/safe/unread" => (format!("{ok}\r\n"), line),
            "/safe/header" => (format!("{ok}x-more: "), line),
            "/safe/chunk" => (
                format!("{ok}transfer-encoding: chunked\r\n\r\n"),
                "0".repeat(10_000),
            ),
            "/safe/interim" => (String::new(), "HTTP/1.1 102 Processing\r\n\r\n".repeat(100)),
            _ => (format!("{ok}content-length: 2\r\n\r\nok"), String::new()),
        }
    })
    .await;
    let route = r#"{"name":"safe","pathPrefix":"/safe/","routeKind":"safe","timeoutMs":3000,"targetLatencyMs":200,"priority":1,"service":"shop","maxAttempts":2}"#;
    let routes = format!(
        r#"{{"version":"r7","services":[{{"name":"shop","healthPath":"/healthz","maxConns":1000}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"hosts":[{{"host":"shop.example","paths":[{route}]}}]}}"#
    );
    let registration = format!(
        r#"{{"service":"shop","address":"{}","zone":"z1","version":"v1","capacity":1000,"state":"ready","warmupLeftMs":0,"seq":1,"born":1}}"#,
        server.address
    );
    let item = |key: &str, value: String| Item {
        key: key.to_owned(),
        value: value.into_bytes(),
        revision: 7,
    };
    let items = vec![item("op/config", routes), item("servers/i-0", registration)];
    let store = start_store(items, "none", ("", "")).await;
    let daemon = Daemon::start(store.address);
    daemon.wait_until_served().await;
    let callers = daemon.callers;
    let requests = (0..REQUESTS).map(|number| {
        let path = paths[number % paths.len()];
        tokio::spawn(async move {
            let mut stream = TcpStream::connect(callers).await.unwrap();
            let request = format_request(path);
            stream.write_all(request.as_bytes()).await.unwrap();
            let mut buffer = vec![0; 1 << 16];
            while path != "/safe/unread" && matches!(stream.read(&mut buffer).await, Ok(1..)) {}
            stream
        })
    });
    let requests: Vec<_> = requests.collect();
    server.wait_until_taken(5 << 20).await;
    daemon.wait_until_served().await;
    let mut streams = Vec::new();
    for request in requests {
        streams.push(request.await.unwrap());
    }
    daemon.wait_until_served().await;
    daemon.get_peak_mib()
}
