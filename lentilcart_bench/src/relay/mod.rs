//! TCP relay that delays, freezes and cuts the links between hosts.

#[allow(clippy::module_inception)]
mod relay;

pub use self::relay::{LinkState, Relay};
