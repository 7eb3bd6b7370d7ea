//! Load: the plan of arrivals and demands, its execution, and the reference that it is held
//! against.

mod bound;
mod plan;
mod run;
mod shot;

pub use self::bound::bound;
pub use self::plan::{Demand, Profile, plan};
pub use self::run::{Targets, run};
pub use self::shot::{Ending, Shot, Sight};
