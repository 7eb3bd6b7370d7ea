//! Discrete-event simulation of one data centre: callers, one dispatcher with the real
//! `ServerPool`, and servers whose speed changes over time.
//!
//! A run takes about a second of real time and needs no network.

mod server_model;
mod shed_pattern;
mod shed_simulation;
mod simulation;

pub use self::server_model::{Admission, ServerModel};
pub use self::shed_pattern::{KINDS, PATTERNS, ShedKind, ShedPattern};
pub use self::shed_simulation::{ShedScore, bound_value, simulate_shedding};
pub use self::simulation::{LoadPhase, ModelConfig, PhaseTally, simulate};
