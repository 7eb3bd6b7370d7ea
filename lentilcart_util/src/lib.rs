//! Small value types, units and collections that the lentilcart crates share.

mod collections;
mod macros;
mod units;
mod value;

pub use self::collections::{Map, Set};
pub use self::units::{DurationText, Micros};
pub use self::value::Name;

/// Random number generator that every seeded decision uses.
pub type Rng = rand_pcg::Pcg64Mcg;

/// Creates a generator from a seed.
#[must_use]
pub fn seeded_rng(seed: u64) -> Rng {
    rand::SeedableRng::seed_from_u64(seed)
}
