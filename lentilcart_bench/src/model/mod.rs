//! A model of one data centre on virtual time: callers, one desk with the real pool, and servers whose
//! speed shifts. It tries a decision in a second, without network.

#[allow(clippy::module_inception)]
mod model;
mod server;

pub use self::model::{Load, Tally, World, play};
pub use self::server::{ServerModel, Taken};
