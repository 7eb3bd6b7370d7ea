//! Links between entries, seen from another entry.

use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;

use futures::{SinkExt, StreamExt};
use lentilcart::EntrySettings;
use lentilcart::entry::{EntryHandle, start_entry};
use lentilcart::platform::create_platform_client;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::{WebSocketStream, accept_async, client_async};
use tokio_util::task::TaskTracker;

use crate::peer_messages::{Heartbeat, PeerMessage};

/// Longest wait for something that an entry does; the test fails after it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
/// Name of the entry that the tests play.
const PLAYED_NAME: &str = "played";
/// Last byte of the loopback address of the next entry.
static NEXT_ADDRESS_BYTE: AtomicU8 = AtomicU8::new(1);

/// An entry in this process, without a platform, and the addresses around it.
struct TestEntry {
    handle: EntryHandle,
    peer: SocketAddr,
    ops: SocketAddr,
    /// Address of the entry that the test plays, where nothing listens at first.
    played: SocketAddr,
}

impl TestEntry {
    async fn start(heartbeat: &str, silence: &str) -> Self {
        let process = std::process::id();
        let [low, high] = [process % 250, process / 250 % 250].map(|byte| byte as u8 + 2);
        let last = NEXT_ADDRESS_BYTE.fetch_add(1, Ordering::SeqCst);
        let ip = Ipv4Addr::new(127, high, low, last);
        let at = |port: u16| SocketAddr::from((ip, port));
        let [callers, peer, ops, played, platform] = [7201, 7202, 7203, 7204, 7205].map(at);
        let flags = [
            ("--name", "tested".to_owned()),
            ("--data-center", "z1".to_owned()),
            ("--platform", format!("http://{platform}")),
            ("--callers", callers.to_string()),
            ("--peer", peer.to_string()),
            ("--ops", ops.to_string()),
            ("--seeds", played.to_string()),
            ("--heartbeat", heartbeat.to_owned()),
            ("--silence", silence.to_owned()),
            ("--lame-duck", "0ms".to_owned()),
            ("--platform-wait", "1s".to_owned()),
        ];
        let args = flags
            .into_iter()
            .flat_map(|(flag, value)| [OsString::from(flag), value.into()]);
        let settings = EntrySettings::read(args.collect(), |_| None).unwrap();
        let timeout = settings.platform_timeout;
        let client = create_platform_client(platform, ip.into(), timeout, TaskTracker::new());
        let handle = start_entry(settings, client).await.unwrap();
        Self {
            handle,
            peer,
            ops,
            played,
        }
    }

    /// Opens a link and sends a heartbeat over it; returns once the entry has handled it.
    async fn open_link(&self) -> WebSocketStream<TcpStream> {
        let stream = TcpStream::connect(self.peer).await.unwrap();
        let url = format!("ws://{}/link", self.peer);
        let (mut link, _) = client_async(url, stream).await.unwrap();
        // The entry's own heartbeat.
        receive(&mut link).await.unwrap();
        let heartbeat = Heartbeat::new(PLAYED_NAME, "z1", self.played, 0);
        for message in [
            PeerMessage::Heartbeat(heartbeat),
            PeerMessage::TicketsRequest(0),
        ] {
            let mut bytes = Vec::new();
            ciborium::into_writer(&message, &mut bytes).unwrap();
            link.send(Message::Binary(bytes.into())).await.unwrap();
        }
        receive(&mut link).await.unwrap();
        link
    }

    /// Returns whether the entry holds the one that the test plays for live.
    async fn is_played_live(&self) -> bool {
        let mut stream = TcpStream::connect(self.ops).await.unwrap();
        let request = "GET /status HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        let mut response = String::new();
        stream.read_to_string(&mut response).await.unwrap();
        let (_, body) = response.split_once("\r\n\r\n").unwrap();
        let status: serde_json::Value = serde_json::from_str(body).unwrap();
        status["peers"][PLAYED_NAME].is_u64()
    }
}

/// Returns the next message; `None` at the end of the link.
async fn receive(link: &mut WebSocketStream<TcpStream>) -> Option<Message> {
    let received = timeout(WAIT_TIMEOUT, link.next()).await;
    received
        .expect("a message or the end of the link")
        .and_then(Result::ok)
}

/// Ends a link, and returns once the entry has closed it too.
async fn close(mut link: WebSocketStream<TcpStream>) {
    link.close(None).await.unwrap();
    while receive(&mut link).await.is_some() {}
}

/// Guards against the late end of a link that a newer one has replaced: the other entry counted as lost until
/// its next heartbeat.
#[tokio::test(flavor = "multi_thread")]
async fn peer_stays_live_at_end_of_replaced_link() {
    let entry = TestEntry::start("10s", "60s").await;
    let replaced = entry.open_link().await;
    let newer = entry.open_link().await;
    close(replaced).await;
    assert!(entry.is_played_live().await);
    close(newer).await;
    assert!(!entry.is_played_live().await);
    entry.handle.stop().await;
}

/// Guards against an accepted link over which nothing comes any more, and that is kept for good.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_link_without_heartbeats_is_ended() {
    let entry = TestEntry::start("50ms", "200ms").await;
    let mut link = entry.open_link().await;
    while receive(&mut link).await.is_some() {}
    entry.handle.stop().await;
}

/// Guards against the same of a dialled link, over which the other entry sends nothing by itself.
#[tokio::test(flavor = "multi_thread")]
async fn dialled_link_without_answers_is_dialled_again() {
    let entry = TestEntry::start("50ms", "200ms").await;
    let listener = TcpListener::bind(entry.played).await.unwrap();
    let accept = async || {
        let (stream, _) = timeout(WAIT_TIMEOUT, listener.accept())
            .await
            .unwrap()
            .unwrap();
        accept_async(stream).await.unwrap()
    };
    // Nothing is read from this link, so that no ping is answered.
    let _silent = accept().await;
    let mut answered = accept().await;
    let read = async { while receive(&mut answered).await.is_some() {} };
    // Ten times as long as the silent link is kept.
    let ended = timeout(Duration::from_secs(8), read).await;
    assert!(ended.is_err(), "an answered link has ended");
    entry.handle.stop().await;
}
