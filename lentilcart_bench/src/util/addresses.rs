use std::net::{IpAddr, Ipv4Addr, SocketAddr};

/// Returns the address of a host: 127.(data centre + 1).(kind).(number).
///
/// Data centres count from 0; `kind` tells entries, servers and relays of one number apart.
#[must_use]
pub fn host_address(data_center: u8, kind: u8, number: u8, port: u16) -> SocketAddr {
    SocketAddr::new(
        IpAddr::V4(Ipv4Addr::new(127, data_center + 1, kind, number)),
        port,
    )
}

/// Returns the data centre of an address made by [`host_address`], counted from 0.
///
/// 127.0.0.1, the address of the callers, counts as data centre 0, and so does any IPv6 address. The
/// second octet of other IPv4 addresses is read in the same way.
#[must_use]
pub fn data_center_of(address: IpAddr) -> u8 {
    match address {
        IpAddr::V4(v4) => v4.octets()[1].saturating_sub(1),
        IpAddr::V6(_) => 0,
    }
}
