use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures::future::join_all;
use lentilcart_platform::HEADER_NAMES;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufStream};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

/// Host of the routes.
pub(super) const HOST: &str = "ahead.example";
/// Time within which a request must be answered.
pub(super) const DEADLINE: Duration = Duration::from_secs(6);

/// How callers send two requests that they have at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendMode {
    /// Both over one connection, the second before the first is answered.
    Pairs,
    /// Each over a connection of its own.
    Separate,
}

impl SendMode {
    /// All modes.
    pub const ALL: [Self; 2] = [Self::Pairs, Self::Separate];

    /// Returns the name on the command line.
    #[must_use]
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Pairs => "pairs",
            Self::Separate => "separate",
        }
    }
}

type Connection = BufStream<TcpStream>;

/// Callers of an entry, which keep their connections.
#[derive(Clone)]
pub(super) struct Callers {
    pub(super) address: SocketAddr,
    pub(super) path: String,
    pub(super) idle: Arc<Mutex<Vec<Connection>>>,
}

impl Callers {
    /// Sends two requests at once; returns the latency of each that was answered with status 200.
    pub(super) async fn send_two(&self, mode: SendMode, number: usize) -> Vec<Option<Duration>> {
        let ids = [0, 1].map(|part| format!("a{number}-{part}"));
        match mode {
            SendMode::Pairs => self.send(&ids).await,
            SendMode::Separate => {
                let sent = ids.iter().map(|id| self.send(std::slice::from_ref(id)));
                join_all(sent).await.concat()
            }
        }
    }

    /// Sends requests over one connection, all before the first answer.
    pub(super) async fn send(&self, ids: &[String]) -> Vec<Option<Duration>> {
        let start = Instant::now();
        let mut latencies = Vec::new();
        let exchange = async {
            let kept = self.idle.lock().expect("no panic under lock").pop();
            let mut connection = match kept {
                Some(connection) => connection,
                None => BufStream::new(TcpStream::connect(self.address).await.ok()?),
            };
            connection.get_ref().set_nodelay(true).ok()?;
            let texts = ids.iter().map(|id| self.format(id));
            let text: String = texts.collect();
            connection.write_all(text.as_bytes()).await.ok()?;
            connection.flush().await.ok()?;
            for id in ids {
                let is_served = read_answer(&mut connection, id).await?;
                latencies.push(is_served.then(|| start.elapsed()));
            }
            let mut idle = self.idle.lock().expect("no panic under lock");
            idle.push(connection);
            Some(())
        };
        // What was not answered is counted by the length.
        timeout(DEADLINE, exchange).await.ok();
        latencies.resize(ids.len(), None);
        latencies
    }

    fn format(&self, id: &str) -> String {
        format!(
            "GET {} HTTP/1.1\r\nhost: {HOST}\r\nuser-agent: bench\r\naccept: */*\r\n{}: {id}\r\n{}: {}\r\n\r\n",
            self.path,
            HEADER_NAMES.request_id,
            HEADER_NAMES.deadline,
            DEADLINE.as_millis()
        )
    }
}

/// Reads an answer; returns whether it serves the request with this identifier, or `None` if the connection
/// ends.
async fn read_answer(connection: &mut Connection, id: &str) -> Option<bool> {
    let (mut is_served, mut names_it, mut length) = (false, false, 0);
    loop {
        let mut line = String::new();
        connection.read_line(&mut line).await.ok()?;
        let line = line.trim_end();
        match line.split_once(": ") {
            _ if line.is_empty() => break,
            Some((name, value)) if name == HEADER_NAMES.request_id => names_it = value == id,
            Some(("content-length", value)) => length = value.parse().ok()?,
            Some(_) => {}
            None => is_served = line.starts_with("HTTP/1.1 200 "),
        }
    }
    connection.read_exact(&mut vec![0; length]).await.ok()?;
    Some(is_served && names_it)
}
