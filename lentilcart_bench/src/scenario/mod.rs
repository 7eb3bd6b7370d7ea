//! Scenarios of the bench: the same arrivals, demands and slowdowns for each way to route.

mod action;
mod experiment;
mod force;
mod overhead;
mod scenarios;
mod slopes;
mod usage;
mod variants;

pub use self::action::Action;
pub use self::experiment::{Experiment, Row, experiment};
pub use self::force::force;
pub use self::overhead::overhead;
pub use self::scenarios::{SCENARIOS, Scenario, get_scenario};
pub use self::slopes::slopes;
pub use self::variants::{DEFAULT_VARIANT, VARIANTS, get_variant};
