use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lentilcart_util::Micros;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::util::{center_of, sleep_until};

const CHUNK_BYTES: usize = 65_536;

/// State of the links from one host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Link {
    /// Bytes pass.
    Open,
    /// Bytes wait; connections stay open.
    Frozen,
    /// Connections are closed and new ones refused.
    Cut,
}

/// Relay in front of one host.
#[derive(Debug, Clone)]
pub struct Relay {
    listen: SocketAddr,
    target: SocketAddr,
    one_way: Micros,
    links: Arc<Mutex<BTreeMap<IpAddr, Link>>>,
    changed: watch::Sender<u64>,
}

impl Relay {
    /// Creates a relay; bytes between different data centres travel for `one_way`.
    #[must_use]
    pub fn new(listen: SocketAddr, target: SocketAddr, one_way: Micros) -> Self {
        let changed = watch::Sender::new(0);
        Self {
            listen,
            target,
            one_way,
            links: Arc::default(),
            changed,
        }
    }

    /// Sets the state of the links from a host.
    pub fn set_link(&self, from: IpAddr, link: Link) {
        self.links
            .lock()
            .expect("no panic under lock")
            .insert(from, link);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Relays until the task is dropped.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be listened on.
    pub async fn run(self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.listen).await?;
        let mut tasks = JoinSet::new();
        loop {
            let (stream, remote) = listener.accept().await?;
            while tasks.try_join_next().is_some() {}
            if self.get_link(remote.ip()) != Link::Cut {
                tasks.spawn(self.clone().relay(stream, remote.ip()));
            }
        }
    }

    fn get_link(&self, from: IpAddr) -> Link {
        let links = self.links.lock().expect("no panic under lock");
        links.get(&from).copied().unwrap_or(Link::Open)
    }

    async fn relay(self, inbound: TcpStream, from: IpAddr) {
        let Ok(outbound) = TcpStream::connect(self.target).await else {
            return;
        };
        inbound.set_nodelay(true).ok();
        outbound.set_nodelay(true).ok();
        let is_far = center_of(from) != center_of(self.target.ip());
        let delay = if is_far {
            self.one_way.into()
        } else {
            Duration::ZERO
        };
        let (from_in, to_in) = inbound.into_split();
        let (from_out, to_out) = outbound.into_split();
        let mut changed = self.changed.subscribe();
        let cut = async {
            changed
                .wait_for(|_| self.get_link(from) == Link::Cut)
                .await
                .is_ok()
        };
        tokio::select! {
            _ = cut => {}
            _ = async {
                tokio::join!(self.pump(from, from_in, to_out, delay), self.pump(from, from_out, to_in, delay))
            } => {}
        }
    }

    /// Moves bytes one way, each chunk after its delay and only while the link is open.
    async fn pump(
        &self,
        from: IpAddr,
        source: OwnedReadHalf,
        sink: OwnedWriteHalf,
        delay: Duration,
    ) {
        let (sender, chunks) = mpsc::unbounded_channel();
        tokio::join!(read(source, sender, delay), self.write(from, chunks, sink));
    }

    async fn write(
        &self,
        from: IpAddr,
        mut chunks: mpsc::UnboundedReceiver<(Instant, Vec<u8>)>,
        mut sink: OwnedWriteHalf,
    ) {
        let mut changed = self.changed.subscribe();
        while let Some((due, chunk)) = chunks.recv().await {
            sleep_until(due).await;
            let is_open = |_: &u64| self.get_link(from) != Link::Frozen;
            let thawed = changed.wait_for(is_open).await.is_ok();
            if !thawed || sink.write_all(&chunk).await.is_err() {
                return;
            }
        }
    }
}

async fn read(
    mut source: OwnedReadHalf,
    sender: mpsc::UnboundedSender<(Instant, Vec<u8>)>,
    delay: Duration,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(size) = source.read(&mut buffer).await {
        let sent = sender.send((Instant::now() + delay, buffer[..size].to_vec()));
        if size == 0 || sent.is_err() {
            return;
        }
    }
}
