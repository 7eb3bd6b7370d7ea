use lentilcart_util::Micros;

use crate::cluster::Variant;

const BEAT: Micros = Micros::from_millis(50);
const FAST_BEAT: Micros = Micros::from_millis(5);

const fn variant(name: &'static str, policy: &'static str, homes: u32) -> Variant {
    Variant {
        name,
        policy,
        homes,
        overcommit: 0,
        hedge: 0.05,
        beat: BEAT,
    }
}

/// Every way to route that the bench compares.
pub const VARIANTS: [Variant; 15] = [
    variant("random", "random", 0),
    variant("round-robin", "round-robin", 0),
    variant("least", "least", 0),
    variant("two-choices", "two-choices", 0),
    variant("probe-pool", "probe-pool", 0),
    variant("late", "late", 0),
    Variant {
        beat: FAST_BEAT,
        ..variant("late-digests", "late-digests", 0)
    },
    variant("late-shares", "late-shares", 0),
    variant("home1", "late", 1),
    variant("home2", "late", 2),
    variant("home1-age", "late-age", 1),
    Variant {
        overcommit: 1,
        ..variant("home1-over1", "late", 1)
    },
    Variant {
        hedge: 0.0,
        ..variant("home1-nohedge", "late", 1)
    },
    Variant {
        hedge: 0.0,
        ..variant("late-nohedge", "late", 0)
    },
    Variant {
        overcommit: 1,
        ..variant("home2-digests", "late-digests", 2)
    },
];

/// Name of the variant that the ticket's defaults give.
pub const DEFAULT_VARIANT: &str = "home1";

/// Returns the variant of a name.
#[must_use]
pub fn get_variant(name: &str) -> Option<Variant> {
    VARIANTS.into_iter().find(|variant| variant.name == name)
}
