//! Requests for tickets between entries, by a link that a test opens as another entry.

use std::ffi::OsString;
use std::net::{IpAddr, Ipv4Addr, TcpListener};
use std::time::Duration;

use futures::{FutureExt, SinkExt, StreamExt};
use lentilcart::EntrySettings;
use lentilcart::entry::{EntryHandle, start_entry};
use lentilcart::platform::PlatformClient;
use lentilcart::state::{NumberedTicket, parse_ticket};
use tokio::net::TcpStream;
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;

use crate::peer_messages::{Heartbeat, PeerMessage};

/// Longer than the process may stand still before its ticket counts as unconfirmed.
const PAUSE: Duration = Duration::from_secs(1);
/// Time within which an entry sends what it is going to send.
const REPLY_WAIT: Duration = Duration::from_millis(500);

/// A link to an entry, from another entry that is not there.
struct Link(WebSocketStream<TcpStream>);

impl Link {
    async fn send(&mut self, message: &PeerMessage) {
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).unwrap();
        self.0.send(Message::Binary(bytes.into())).await.unwrap();
    }

    async fn send_heartbeat(&mut self, ticket_number: u64) {
        let heartbeat =
            Heartbeat::new("other", "a", (Ipv4Addr::LOCALHOST, 1).into(), ticket_number);
        self.send(&PeerMessage::Heartbeat(heartbeat)).await;
    }

    /// Returns the next message, `None` where none comes.
    async fn receive(&mut self) -> Option<PeerMessage> {
        let next = tokio::time::timeout(REPLY_WAIT, self.0.next()).await.ok()?;
        let bytes = next.unwrap().unwrap().into_data();
        Some(ciborium::from_reader(&*bytes).unwrap())
    }
}

/// Returns the client of a platform that answers nothing. Its calls have no timeout, so that an entry which
/// uses it cannot be stopped: it ends with the runtime of the test.
fn silent_platform() -> PlatformClient {
    PlatformClient {
        call_kv: Box::new(|_| futures::future::pending().boxed()),
        watch_key: Box::new(|_| futures::future::pending().boxed()),
        acquire_lease: Box::new(|_| futures::future::pending().boxed()),
        watch_hosts: Box::new(|_| futures::future::pending().boxed()),
        call_counters: std::sync::Arc::default(),
    }
}

/// Starts an entry without tickets, whose platform answers nothing, and opens a link to it.
async fn start_with_link() -> (EntryHandle, Link) {
    let ports = [(); 3].map(|()| TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).unwrap());
    let addresses = ports.map(|port| port.local_addr().unwrap());
    let [callers, peer, ops] = addresses.map(|address| address.to_string());
    let args = [
        ["--name", "e"],
        ["--data-center", "a"],
        ["--platform", "127.0.0.1:1"],
        ["--callers", &callers],
        ["--peer", &peer],
        ["--ops", &ops],
        // The links stay open while the entry is paused.
        ["--silence", "10s"],
    ];
    let args: Vec<OsString> = args.concat().into_iter().map(OsString::from).collect();
    let settings = EntrySettings::read(args, |_| None).unwrap();
    assert_eq!(settings.source_ip, IpAddr::V4(Ipv4Addr::LOCALHOST));
    let entry = start_entry(settings, silent_platform()).await.unwrap();
    let stream = TcpStream::connect(addresses[1]).await.unwrap();
    let url = format!("ws://{peer}/link");
    let (link, _) = tokio_tungstenite::client_async(url, stream).await.unwrap();
    let mut link = Link(link);
    let first = link.receive().await;
    assert!(
        matches!(first, Some(PeerMessage::Heartbeat(_))),
        "{first:?}"
    );
    (entry, link)
}

/// Guards against an entry that was paused and takes its ticket for the newest one, by the empty reply of
/// an entry that does not even have that.
#[tokio::test]
async fn tickets_request_is_not_answered_from_behind() {
    let (_entry, mut link) = start_with_link().await;
    link.send(&PeerMessage::TicketsRequest(5)).await;
    let reply = link.receive().await;
    assert!(reply.is_none(), "{reply:?}");
    link.send(&PeerMessage::TicketsRequest(0)).await;
    let reply = link.receive().await;
    assert!(matches!(&reply, Some(PeerMessage::Tickets(tickets)) if tickets.is_empty()));
}

/// Guards against an entry that was paused and loses time by asking one that cannot confirm its ticket.
#[tokio::test]
async fn paused_entry_asks_none_that_is_behind() {
    let (_entry, mut link) = start_with_link().await;
    let text = "base = 0\n[[service]]\nname = \"s\"\ntenant = \"t\"\n[[service.route]]\nclass = \"once\"\n";
    let ticket = NumberedTicket {
        number: 1,
        id: "first".into(),
        ticket: parse_ticket(text, &["late"]).unwrap().into(),
    };
    link.send(&PeerMessage::Tickets(vec![ticket])).await;
    tokio::time::sleep(REPLY_WAIT).await;
    // The entry runs in this thread.
    std::thread::sleep(PAUSE);
    tokio::time::sleep(REPLY_WAIT).await;
    link.send_heartbeat(0).await;
    let request = link.receive().await;
    assert!(request.is_none(), "{request:?}");
    link.send_heartbeat(1).await;
    let request = link.receive().await;
    assert!(
        matches!(request, Some(PeerMessage::TicketsRequest(1))),
        "{request:?}"
    );
}
