//! Memory of the daemon as a process, while servers, the store or callers send bytes without end.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Longest wait for a condition; only a broken daemon needs that long.
const WAIT_TIMEOUT: Duration = Duration::from_secs(180);
/// Last byte of the loopback address of the next daemon.
static NEXT_ADDRESS_BYTE: AtomicU8 = AtomicU8::new(1);

/// A daemon as a child process; it is killed when dropped.
struct Daemon {
    child: Child,
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
        Self { child, settings }
    }

    /// Returns the largest resident memory so far, in MiB.
    fn get_peak_mib(&self) -> usize {
        let status = format!("/proc/{}/status", self.child.id());
        let status = std::fs::read_to_string(status).unwrap();
        let line = status.lines().find(|line| line.starts_with("VmHWM:"));
        let peak = line.unwrap().split_whitespace().nth(1).unwrap();
        peak.parse::<usize>().unwrap() / 1024
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        std::fs::remove_file(&self.settings).ok();
    }
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

/// Starts a store without items. A watch of `endless_prefix` is answered by a text and another without
/// end; other watches get no answer unless they must not wait.
async fn start_store(
    endless_prefix: &'static str,
    (text, repeated): (&'static str, &'static str),
) -> StandIn {
    StandIn::start(move |head| {
        let path = head.split_whitespace().nth(1).unwrap_or_default();
        let prefix = path.split("pathPrefix=").nth(1).unwrap_or_default();
        let prefix = prefix.split('&').next().unwrap_or_default();
        let reply = match path.split(['?', '/']).nth(1).unwrap_or_default() {
            "kv-range" => r#"{"items":[],"truncated":false,"storeRevision":7}"#.to_owned(),
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
    let store = start_store("servers/", chunks).await;
    let daemon = Daemon::start(store.address);
    store.wait_until_taken(1).await;
    let before = daemon.get_peak_mib();
    store.wait_until_taken(24 << 20).await;
    let growth = daemon.get_peak_mib() - before;
    assert!(growth < 16, "the peak grew by {growth} MiB");
}
