//! A gateway: an entry whose routes and servers come from the platform's store.
//!
//! Requests go from `serve` to `attempt` to a desk of the service, and read what `control` keeps:
//! the routes in force, the registered servers and the other entries.

mod answer;
mod attempt;
mod beat;
mod control;
mod desks;
#[allow(clippy::module_inception)]
mod gateway;
mod ops;
mod peers;
mod probe;
mod refusal;
mod register;
mod run;
mod serve;
mod tick;

pub use self::run::{GatewayRunning, start_gateway};
