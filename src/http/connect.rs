use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use socket2::{SockRef, TcpKeepalive};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::timeout;

/// Limits of a new connection.
#[derive(Debug, Clone, Copy)]
pub struct ConnectTimeouts {
    /// Longest time until it is established.
    pub connect: Duration,
    /// Time after which a connection whose bytes are not acknowledged is given up; none where the
    /// system's default holds.
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

/// Opens a TCP connection from one of this host's addresses.
///
/// # Errors
///
/// Fails where the address cannot be bound or the other side does not accept in time.
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
        // A side that only waits for an answer notices silence by probes.
        let probes = TcpKeepalive::new().with_time(user_timeout / 2);
        socket.set_tcp_keepalive(&probes.with_interval(user_timeout / 2))?;
    }
    Ok(stream)
}
