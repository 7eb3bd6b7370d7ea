use std::io;
use std::net::{IpAddr, SocketAddr};

use tokio::net::{TcpSocket, TcpStream};

/// Opens a TCP connection from one of this host's addresses.
///
/// # Errors
///
/// Fails where the address cannot be bound or the other side does not accept.
pub async fn connect(source: IpAddr, target: SocketAddr) -> io::Result<TcpStream> {
    let socket = match source {
        IpAddr::V4(_) => TcpSocket::new_v4()?,
        IpAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(SocketAddr::new(source, 0))?;
    let stream = socket.connect(target).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}
