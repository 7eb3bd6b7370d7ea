//! Loopback addresses and free ports.

use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::time::{Duration, Instant};

/// Returns a loopback address of this run; runs at the same time have other ones.
pub fn ip(host: u8) -> IpAddr {
    let process = std::process::id();
    let [low, high] = [process % 250, process / 250 % 250].map(|byte| byte as u8 + 2);
    Ipv4Addr::new(127, high, low, host).into()
}

/// Returns a port that is free on all the addresses, for TCP and UDP.
pub fn free_port(hosts: &[u8]) -> u16 {
    loop {
        let probe = TcpListener::bind((ip(hosts[0]), 0)).expect("a free port");
        let port = probe.local_addr().expect("local address").port();
        drop(probe);
        let is_free = |host: &u8| {
            TcpListener::bind((ip(*host), port)).is_ok()
                && UdpSocket::bind((ip(*host), port)).is_ok()
        };
        if hosts.iter().all(is_free) {
            return port;
        }
    }
}

/// Listens on an address, also right after another listener there has ended.
pub fn listen(address: SocketAddr) -> TcpListener {
    let end = Instant::now() + Duration::from_secs(5);
    loop {
        match TcpListener::bind(address) {
            Ok(listener) => return listener,
            Err(error) if Instant::now() > end => panic!("cannot listen on {address}: {error}"),
            Err(_) => std::thread::sleep(Duration::from_millis(5)),
        }
    }
}
