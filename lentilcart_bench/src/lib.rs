//! Stand-ins for what lentilcart runs between, and the load and experiment tool.
//!
//! Hosts are addresses in 127.0.0.0/8; the second number of an address tells the data centre.
//! Nothing here is published or part of the product.

pub mod cluster;
pub mod demo;
pub mod load;
pub mod model;
pub mod platform;
pub mod relay;
pub mod report;
pub mod scenario;
pub mod servers;
pub mod util;
