use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lentilcart_util::Map;
use tokio::task::JoinHandle;
use tokio_tungstenite::client_async;

use super::exchange::exchange;
use crate::entry::Entry;
use crate::http::{ConnectLimits, connect};

const REVIEW_EVERY: Duration = Duration::from_millis(100);
const REDIAL_PAUSE: Duration = Duration::from_millis(50);
const DIAL_PATIENCE: Duration = Duration::from_millis(500);

/// Keeps one dialled link to every other entry that is known, until the entry stops.
pub(crate) async fn keep_links(entry: Arc<Entry>) {
    let mut links: Map<SocketAddr, JoinHandle<()>> = Map::default();
    let mut timer = tokio::time::interval(REVIEW_EVERY);
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
                .or_insert_with(|| tokio::spawn(redial(entry.clone(), address)));
        }
    }
    for (_, task) in links {
        task.await.ok();
    }
}

async fn redial(entry: Arc<Entry>, address: SocketAddr) {
    while !entry.stop.is_cancelled() {
        let opened = tokio::time::timeout(DIAL_PATIENCE, dial(&entry, address)).await;
        if let Ok(Some(link)) = opened {
            exchange(entry.clone(), link, true).await;
        }
        tokio::select! {
            () = entry.stop.cancelled() => {}
            () = tokio::time::sleep(REDIAL_PAUSE) => {}
        }
    }
}

async fn dial(
    entry: &Entry,
    address: SocketAddr,
) -> Option<tokio_tungstenite::WebSocketStream<tokio::net::TcpStream>> {
    let stream = connect(entry.settings.source, address, ConnectLimits::default())
        .await
        .ok()?;
    let (link, _) = client_async(format!("ws://{address}/link"), stream)
        .await
        .ok()?;
    Some(link)
}
