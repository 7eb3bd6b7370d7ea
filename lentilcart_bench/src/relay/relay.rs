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

use crate::util::{data_center_of, sleep_until};

/// Maximum number of bytes read at once.
const CHUNK_BYTES: usize = 65_536;

/// State of the link from one host to the host behind the relay; it covers both directions of the
/// connections that the first host opens, and none that are opened the other way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkState {
    /// Bytes pass.
    Open,
    /// Bytes are held back; connections stay open.
    Frozen,
    /// Connections are closed; new ones are closed at once.
    Cut,
}

/// TCP relay in front of one host.
#[derive(Debug, Clone)]
pub struct Relay {
    listen: SocketAddr,
    target: SocketAddr,
    /// One-way latency from and to hosts in other data centres.
    one_way: Micros,
    /// State by source address; a missing one is open.
    link_states: Arc<Mutex<BTreeMap<IpAddr, LinkState>>>,
    /// Number of changes of the states so far; a send wakes the connections.
    changed: watch::Sender<u64>,
}

impl Relay {
    /// Creates a relay from `listen` to `target`; bytes between different data centres are delayed by
    /// `one_way` in each direction.
    #[must_use]
    pub fn new(listen: SocketAddr, target: SocketAddr, one_way: Micros) -> Self {
        let changed = watch::Sender::new(0);
        Self {
            listen,
            target,
            one_way,
            link_states: Arc::default(),
            changed,
        }
    }

    /// Sets the state of the link from a host.
    pub fn set_link_state(&self, from: IpAddr, state: LinkState) {
        self.link_states
            .lock()
            .expect("no panic under lock")
            .insert(from, state);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Relays until the task is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound, or if a connection cannot be accepted.
    pub async fn run(self) -> std::io::Result<()> {
        let listener = TcpListener::bind(self.listen).await?;
        let mut tasks = JoinSet::new();
        loop {
            let (stream, peer) = listener.accept().await?;
            while tasks.try_join_next().is_some() {}
            if self.get_link_state(peer.ip()) != LinkState::Cut {
                tasks.spawn(self.clone().relay_connection(stream, peer.ip()));
            }
        }
    }

    /// Returns the state of the link from a host.
    fn get_link_state(&self, from: IpAddr) -> LinkState {
        let link_states = self.link_states.lock().expect("no panic under lock");
        link_states.get(&from).copied().unwrap_or(LinkState::Open)
    }

    /// Relays one connection until both directions have ended or the link is cut.
    async fn relay_connection(self, inbound: TcpStream, from: IpAddr) {
        let Ok(outbound) = TcpStream::connect(self.target).await else {
            return;
        };
        inbound.set_nodelay(true).ok();
        outbound.set_nodelay(true).ok();
        let is_remote = data_center_of(from) != data_center_of(self.target.ip());
        let delay = if is_remote {
            self.one_way.into()
        } else {
            Duration::ZERO
        };
        let (from_in, to_in) = inbound.into_split();
        let (from_out, to_out) = outbound.into_split();
        let mut changed = self.changed.subscribe();
        let cut_off = async {
            changed
                .wait_for(|_| self.get_link_state(from) == LinkState::Cut)
                .await
                .is_ok()
        };
        tokio::select! {
            _ = cut_off => {}
            _ = async {
                tokio::join!(self.forward(from, from_in, to_out, delay), self.forward(from, from_out, to_in, delay))
            } => {}
        }
    }

    /// Forwards bytes in one direction, each chunk after its delay and only while the link is not
    /// frozen.
    async fn forward(
        &self,
        from: IpAddr,
        reader: OwnedReadHalf,
        writer: OwnedWriteHalf,
        delay: Duration,
    ) {
        let (sender, chunks) = mpsc::unbounded_channel();
        tokio::join!(
            read_chunks(reader, sender, delay),
            self.write_chunks(from, chunks, writer)
        );
    }

    /// Writes chunks, each given with the time at which it is due.
    async fn write_chunks(
        &self,
        from: IpAddr,
        mut chunks: mpsc::UnboundedReceiver<(Instant, Vec<u8>)>,
        mut writer: OwnedWriteHalf,
    ) {
        let mut changed = self.changed.subscribe();
        while let Some((due_at, chunk)) = chunks.recv().await {
            sleep_until(due_at).await;
            let is_not_frozen = |_: &u64| self.get_link_state(from) != LinkState::Frozen;
            let is_passing = changed.wait_for(is_not_frozen).await.is_ok();
            if !is_passing || writer.write_all(&chunk).await.is_err() {
                return;
            }
        }
    }
}

/// Reads chunks until the stream ends and passes each on with the time at which it is due.
async fn read_chunks(
    mut reader: OwnedReadHalf,
    sender: mpsc::UnboundedSender<(Instant, Vec<u8>)>,
    delay: Duration,
) {
    let mut buffer = vec![0; CHUNK_BYTES];
    while let Ok(size) = reader.read(&mut buffer).await {
        let sent = sender.send((Instant::now() + delay, buffer[..size].to_vec()));
        if size == 0 || sent.is_err() {
            return;
        }
    }
}
