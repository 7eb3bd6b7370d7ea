use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Timeouts of a new TCP connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectTimeouts {
    /// Time within which the connection must be established.
    pub connect: Duration,
    /// Time after which a connection whose bytes are not acknowledged is closed
    /// (`TCP_USER_TIMEOUT`); `None` leaves the default of the system.
    pub user_timeout: Option<Duration>,
}

impl Default for ConnectTimeouts {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(60),
            user_timeout: None,
        }
    }
}

/// Rounds a time up to whole seconds, at least one: keep-alive times have no fractions, and Linux rejects
/// zero.
fn round_up_to_secs(time: Duration) -> Duration {
    let has_fraction = time.subsec_nanos() > 0;
    Duration::from_secs((time.as_secs() + u64::from(has_fraction)).max(1))
}

/// Opens a TCP connection to `target` from `source`, an address of this host.
///
/// # Errors
///
/// Fails if `source` cannot be bound, or if the target does not accept the connection within the
/// timeout.
pub async fn connect(
    source: IpAddr,
    target: SocketAddr,
    timeouts: ConnectTimeouts,
) -> io::Result<TcpStream> {
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::new(source, 0))?;
    let established = timeout(timeouts.connect, socket.connect(target)).await;
    let stream = established.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
    stream.set_nodelay(true)?;
    if let Some(user_timeout) = timeouts.user_timeout {
        let socket = SockRef::from(&stream);
        socket.set_tcp_user_timeout(timeouts.user_timeout)?;
        // A side that waits for a response sends nothing that could stay unacknowledged, so it needs
        // keep-alive probes to notice that the other side is gone.
        let interval = round_up_to_secs(user_timeout / 2);
        let keepalive = TcpKeepalive::new().with_time(interval);
        socket.set_tcp_keepalive(&keepalive.with_interval(interval))?;
    }
    Ok(stream)
}
