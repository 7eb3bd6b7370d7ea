//! Discrete-event simulation of one data centre: callers, one dispatcher with the real
//! `ServerPool`, and servers whose speed changes over time.
//!
//! A run takes about a second of real time and needs no network.

mod server_model;
mod simulation;

pub use self::server_model::{Admission, ServerModel};
pub use self::simulation::{LoadPhase, ModelConfig, PhaseTally, simulate};
