use std::net::{Ipv4Addr, TcpListener};

use crate::cluster::small_layout;

/// Offset of the port that a layout holds on 127.0.0.1 from its first port.
const LOCK_PORT: u16 = 5;
/// Number of ports of a layout.
const PORTS: u16 = 8;

/// Guards against test runs that share ports with another run on the same machine, and send their requests
/// and signals to its processes.
#[test]
fn new_skips_ports_of_other_processes() {
    let layout = small_layout();
    let next = (1..=8).map(|number| layout.first_port + number * PORTS);
    let occupied = next.filter_map(|first_port| {
        let lock = TcpListener::bind((Ipv4Addr::LOCALHOST, first_port + LOCK_PORT)).ok()?;
        Some((first_port, lock))
    });
    let occupied: Vec<_> = occupied.collect();
    let other = small_layout();
    assert_ne!(other.first_port, layout.first_port);
    assert!(occupied.iter().all(|(port, _)| *port != other.first_port));
}
