//! TCP relay that delays, cuts and freezes links between hosts.

#[allow(clippy::module_inception)]
mod relay;

pub use self::relay::{Link, Relay};
