//! A gateway: an entry whose routes and servers come from the platform's store.
//!
//! A request goes from `serve` to `attempt`, which gets a server from `desks` and judges its answer
//! by `answer`. What requests read is kept by `control` (watches), `install` (routes and servers),
//! `contact` (the store), `peers` (other entries) and `probe` (load of servers).

mod attempt;
mod changes;
mod datagram;
mod error_reply;
#[allow(clippy::module_inception)]
mod gateway;
mod handle;
mod mirror;
mod on_demand_probe;
mod ops;
mod peers;
mod permit_table;
mod probe;
mod register;
mod response;
mod serve;
mod store_contact;
mod tick;

pub use self::handle::{GatewayHandle, start_gateway};
