//! Value types, units and collections that the lentilcart crates share.

mod collections;
mod macros;
mod units;
mod value;

pub use self::collections::{Map, Set};
pub use self::units::{BitRateText, ByteText, DurationText, Micros};
pub use self::value::Name;

/// Seedable random number generator, for random decisions that can be replayed from a seed.
///
/// It is PCG with 128 bits of state and 64 bits of output (O'Neill, 2014), and not cryptographic.
pub type Rng = rand_pcg::Pcg64Mcg;

/// Returns a generator that yields the same numbers for the same seed.
#[must_use]
pub fn seeded_rng(seed: u64) -> Rng {
    rand::SeedableRng::seed_from_u64(seed)
}
