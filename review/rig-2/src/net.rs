//! Connections with a small window, which the standard library does not offer.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::os::fd::FromRawFd;

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// `sockaddr_in` of Linux.
#[repr(C)]
struct Address {
    family: u16,
    port: u16,
    ip: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const Address, length: u32) -> i32;
}

/// Opens a connection whose receive buffer has `window` bytes from the start (the kernel doubles that).
pub fn connect_small(address: SocketAddr, window: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let address = Address {
        family: AF_INET as u16,
        port: address.port().to_be(),
        ip: u32::from(*address.ip()).to_be(),
        zero: [0; 8],
    };
    // SAFETY: the arguments are as the C library declares them, and the descriptor is owned by the stream at once.
    unsafe {
        let descriptor = socket(AF_INET, SOCK_STREAM, 0);
        if descriptor < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(descriptor);
        if setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &raw const window, 4) != 0
            || connect(descriptor, &raw const address, size_of::<Address>() as u32) != 0
        {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}
