//! Dials the links to other entries and keeps them open.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lentilcart_util::Map;
use tokio::task::JoinHandle;
use tokio_tungstenite::client_async;

use super::exchange::run_link;
use crate::entry::Entry;
use crate::http::{ConnectTimeouts, connect};

/// Time between two comparisons of the links with the known entries.
const PEER_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Delay between the end of a link, or a failure to open it, and the next try.
const REDIAL_DELAY: Duration = Duration::from_millis(50);
/// Time in which a link must be opened, handshake included.
const DIAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Keeps one dialled link to every other known entry, until this entry stops.
pub(crate) async fn maintain_links(entry: Arc<Entry>) {
    let mut links: Map<SocketAddr, JoinHandle<()>> = Map::default();
    let mut timer = tokio::time::interval(PEER_CHECK_INTERVAL);
    loop {
        tokio::select! {
            () = entry.stop.cancelled() => break,
            _ = timer.tick() => {}
        }
        let wanted = entry.get_peer_addresses();
        links.retain(|address, task| {
            let keep = wanted.contains(address);
            if !keep {
                task.abort();
            }
            keep && !task.is_finished()
        });
        for address in wanted {
            links
                .entry(address)
                .or_insert_with(|| tokio::spawn(maintain_link(entry.clone(), address)));
        }
    }
    for (_, task) in links {
        task.await.ok();
    }
}

/// Keeps a link to an address open, and dials again when it ends, until the entry stops.
async fn maintain_link(entry: Arc<Entry>, address: SocketAddr) {
    while !entry.stop.is_cancelled() {
        let dialled = tokio::time::timeout(DIAL_TIMEOUT, dial(&entry, address)).await;
        if let Ok(Some(link)) = dialled {
            run_link(entry.clone(), link, /* is_dialer */ true).await;
        }
        tokio::select! {
            () = entry.stop.cancelled() => {}
            () = tokio::time::sleep(REDIAL_DELAY) => {}
        }
    }
}

/// Opens a link by a WebSocket handshake; returns `None` if that fails.
async fn dial(
    entry: &Entry,
    address: SocketAddr,
) -> Option<tokio_tungstenite::WebSocketStream<tokio::net::TcpStream>> {
    let stream = connect(
        entry.settings.source_ip,
        address,
        ConnectTimeouts::default(),
    )
    .await
    .ok()?;
    let (link, _) = client_async(format!("ws://{address}/link"), stream)
        .await
        .ok()?;
    Some(link)
}
