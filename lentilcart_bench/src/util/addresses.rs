use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Returns the address of a host: its data centre (from 0), its kind and its number.
#[must_use]
pub fn host(center: u8, kind: u8, number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(
        IpAddr::V4(Ipv4Addr::new(127, center + 1, kind, number)),
        port,
    )
}

/// Returns the data centre (from 0) of an address.
#[must_use]
pub fn center_of(address: IpAddr) -> u8 {
    match address {
        IpAddr::V4(v4) => v4.octets()[1].saturating_sub(1),
        IpAddr::V6(_) => 0,
    }
}
