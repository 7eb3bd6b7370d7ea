//! Accepts links and runs a link of either side: sends and receives its messages.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt, StreamExt};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, SEC_WEBSOCKET_ACCEPT, SEC_WEBSOCKET_KEY, UPGRADE};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use lentilcart_util::Name;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout, timeout_at};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite;
use tokio_tungstenite::tungstenite::handshake::derive_accept_key;
use tokio_tungstenite::tungstenite::protocol::Role;

use super::message::{Message, decode, encode};
use super::peer_permits::PeerPermits;
use crate::entry::Entry;
use crate::http::{HttpBody, empty_body};

/// A link is ended after this many times the `silence` setting (the time without a heartbeat after which an
/// entry counts as lost) in which nothing comes over it, or it takes no data.
const LINK_TIMEOUT_FACTOR: u32 = 4;

/// What comes over a link.
enum Received {
    Message(Message),
    /// A frame without a message, such as the answer to a ping.
    Control,
}

/// A link to another entry, which is taken out of use when it is dropped, also if its task is aborted.
struct OpenLink {
    entry: Arc<Entry>,
    /// Number of the link, higher than those of earlier ones.
    number: u64,
    is_dialer: bool,
    /// Messages to send over the link.
    outbox: mpsc::UnboundedSender<Message>,
    /// Permits that the other entry has requested.
    permits: PeerPermits,
    /// Name of the other entry, once its heartbeat has told it.
    peer: Option<Name>,
}

/// Runs a link until one of these happens:
///
/// - the connection fails, or the other side closes it;
/// - a message cannot be decoded;
/// - nothing comes from the other side, or it takes no data, for [`LINK_TIMEOUT_FACTOR`] times the
///   `silence` setting;
/// - this entry stops.
///
/// `is_dialer` is true at the side that opened the connection. That side sends the heartbeats and
/// the requests for permits; the other one sends a single heartbeat, which tells its name. Both
/// answer requests for tickets. Since the other one sends nothing by itself after that, the side that
/// opened the connection also sends pings (RFC 6455, section 5.5.2).
pub(crate) async fn run_link<S>(entry: Arc<Entry>, mut link: WebSocketStream<S>, is_dialer: bool)
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut heartbeat_due = entry.heartbeat_due.subscribe();
    let mut timer = tokio::time::interval(entry.settings.heartbeat_interval);
    timer.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let mut pings = tokio::time::interval(entry.settings.silence_timeout);
    pings.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    let link_timeout = get_link_timeout(&entry);
    let mut receive_end = Instant::now() + link_timeout;
    let (outbox, mut outgoing) = mpsc::unbounded_channel();
    let mut open_link = OpenLink::new(entry.clone(), is_dialer, outbox);
    if !is_dialer
        && !send(
            &entry,
            &mut link,
            Message::Heartbeat(entry.build_heartbeat()),
        )
        .await
    {
        return;
    }
    loop {
        let message = tokio::select! {
            () = entry.stop.cancelled() => break,
            Some(message) = outgoing.recv() => Some(message),
            _ = timer.tick(), if is_dialer => Some(Message::Heartbeat(entry.build_heartbeat())),
            _ = heartbeat_due.changed(), if is_dialer => {
                Some(Message::Heartbeat(entry.build_heartbeat()))
            }
            _ = pings.tick(), if is_dialer => {
                if !send_ping(&entry, &mut link).await {
                    break;
                }
                None
            }
            received = timeout_at(receive_end, receive(&mut link)) => {
                receive_end = Instant::now() + link_timeout;
                match received {
                    Ok(Some(Received::Message(message))) => open_link.handle_message(message),
                    Ok(Some(Received::Control)) => None,
                    Ok(None) => break,
                    Err(_) => {
                        log::info!(peer:? = open_link.peer; "nothing comes over a link, closing it");
                        break;
                    }
                }
            }
        };
        let sent = match message {
            None => true,
            Some(message) => send_batch(&entry, &mut link, message, &mut outgoing).await,
        };
        if !sent {
            break;
        }
    }
}

impl OpenLink {
    /// Creates a link that is not in use yet, since the name of the other entry is not known.
    fn new(entry: Arc<Entry>, is_dialer: bool, outbox: mpsc::UnboundedSender<Message>) -> Self {
        Self {
            number: entry.next_serial(),
            permits: PeerPermits::new(entry.clone(), outbox.clone()),
            entry,
            is_dialer,
            outbox,
            peer: None,
        }
    }

    /// Handles a message from the other entry and returns the reply, if one is due.
    fn handle_message(&mut self, message: Message) -> Option<Message> {
        match message {
            Message::PermitRequest(id, request) => {
                self.permits.handle_request(self.peer.as_ref(), id, request);
                None
            }
            Message::PermitRelease(id, outcome) => {
                self.permits.release(id, outcome);
                None
            }
            Message::PermitReply(id, reply) => {
                if let Some(peer) = &self.peer {
                    self.entry.links.deliver_reply(peer, id, reply);
                }
                None
            }
            message => {
                if let (None, Some(name)) = (&self.peer, get_sender_name(&message)) {
                    self.put_in_use(name);
                }
                self.entry.handle_message(message)
            }
        }
    }

    /// Puts the link in use for the entry with this name, in the place of an earlier one.
    fn put_in_use(&mut self, peer: Name) {
        let links = &self.entry.links;
        if self.is_dialer {
            links.insert(&peer, self.outbox.clone());
        } else {
            links.insert_accepted(&peer, self.number);
        }
        self.peer = Some(peer);
    }
}

impl Drop for OpenLink {
    fn drop(&mut self) {
        let links = &self.entry.links;
        match &self.peer {
            Some(peer) if self.is_dialer => links.remove(peer, &self.outbox),
            Some(peer) if links.remove_accepted(peer, self.number) => {
                self.entry.record_peer_lost(peer);
            }
            _ => {}
        }
    }
}

/// Accepts a link that another entry opens by a WebSocket handshake (RFC 6455, section 4.2).
pub(crate) fn serve_link(entry: &Arc<Entry>, mut request: Request<Incoming>) -> Response<HttpBody> {
    let key = request.headers().get(SEC_WEBSOCKET_KEY);
    let accept = key.map(|key| derive_accept_key(key.as_bytes()));
    let upgrade = hyper::upgrade::on(&mut request);
    let entry = entry.clone();
    let tasks = entry.tasks.clone();
    tasks.spawn(async move {
        match upgrade.await {
            Ok(upgraded) => {
                let io = TokioIo::new(upgraded);
                let link = WebSocketStream::from_raw_socket(io, Role::Server, None).await;
                run_link(entry, link, /* is_dialer */ false).await;
            }
            Err(error) => log::warn!("cannot accept a peer link: {error}"),
        }
    });
    Response::builder()
        .status(StatusCode::SWITCHING_PROTOCOLS)
        .header(CONNECTION, "Upgrade")
        .header(UPGRADE, "websocket")
        .header(SEC_WEBSOCKET_ACCEPT, accept.unwrap_or_default())
        .body(empty_body())
        .expect("the parts are valid")
}

/// Sends a message and those queued behind it, all in one write if they fit; returns false if
/// the link fails or the write takes longer than [`get_link_timeout`].
async fn send_batch<S>(
    entry: &Entry,
    link: &mut WebSocketStream<S>,
    first: Message,
    outgoing: &mut mpsc::UnboundedReceiver<Message>,
) -> bool
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let mut next = Some(first);
    let write = async {
        while let Some(message) = next.take() {
            let bytes = encode(&message);
            entry
                .stats
                .add_link_bytes(bytes.len(), message.is_about_request());
            link.feed(tungstenite::Message::Binary(bytes.into()))
                .await?;
            next = outgoing.try_recv().ok();
        }
        link.flush().await
    };
    matches!(timeout(get_link_timeout(entry), write).await, Ok(Ok(())))
}

/// Sends a ping, which the other side answers; returns false if the link fails or the write takes too long.
async fn send_ping<S>(entry: &Entry, link: &mut WebSocketStream<S>) -> bool
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let write = link.send(tungstenite::Message::Ping(Bytes::new()));
    matches!(timeout(get_link_timeout(entry), write).await, Ok(Ok(())))
}

/// Returns the time after which a link is ended that nothing comes over, or that takes no data.
fn get_link_timeout(entry: &Entry) -> Duration {
    entry.settings.silence_timeout * LINK_TIMEOUT_FACTOR
}

/// Sends one message; returns false if the link fails or the write takes too long.
async fn send<S>(entry: &Entry, link: &mut WebSocketStream<S>, message: Message) -> bool
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    let (_, mut empty_queue) = mpsc::unbounded_channel();
    send_batch(entry, link, message, &mut empty_queue).await
}

/// Returns what comes next; `None` if the link has ended or a message cannot be decoded.
async fn receive<S>(link: &mut WebSocketStream<S>) -> Option<Received>
where
    S: AsyncRead + AsyncWrite + Unpin,
{
    match link.next().await? {
        Ok(tungstenite::Message::Binary(bytes)) => match decode(&bytes) {
            Ok(message) => Some(Received::Message(message)),
            Err(error) => {
                log::warn!("cannot decode a message from another entry, closing the link: {error}");
                None
            }
        },
        Ok(tungstenite::Message::Close(_)) | Err(_) => None,
        Ok(_) => Some(Received::Control),
    }
}

/// Returns the name of the sender; only a heartbeat holds it.
fn get_sender_name(message: &Message) -> Option<Name> {
    match message {
        Message::Heartbeat(heartbeat) => Some(heartbeat.name.clone()),
        _ => None,
    }
}
