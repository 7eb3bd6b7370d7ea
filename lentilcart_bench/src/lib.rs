//! Stubs of the systems around lentilcart (platform, servers, network), and the tool that
//! generates load and runs experiments.
//!
//! Hosts are addresses in 127.0.0.0/8; the second octet of an address gives the data centre.
//! Nothing here is published or part of the product.

pub mod ahead;
pub mod cluster;
pub mod demo;
pub mod load;
pub mod model;
pub mod platform;
pub mod relay;
pub mod report;
pub mod scenario;
pub mod servers;
pub mod soak;
pub mod uploads;
pub mod util;
