//! Scenarios of the bench: each routing variant gets the same arrivals, service times and
//! slowdowns.

mod action;
mod experiment;
mod force_delays;
mod overhead;
mod scaling_point;
mod scenarios;
mod usage;
mod variants;

pub use self::action::Action;
pub use self::experiment::{Experiment, ExperimentRow, run_experiment};
pub use self::force_delays::measure_in_force_delays;
pub use self::overhead::measure_overhead;
pub use self::scaling_point::measure_scaling;
pub use self::scenarios::{SCENARIOS, Scenario, get_scenario};
pub use self::variants::{DEFAULT_VARIANT, VARIANTS, get_variant};
