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
        connections: 200,
        hedge: 0.05,
        beat: BEAT,
    }
}

const fn over(base: Variant, name: &'static str, overcommit: u32) -> Variant {
    Variant {
        name,
        overcommit,
        ..base
    }
}

/// Every way to route that the bench compares.
pub const VARIANTS: [Variant; 22] = [
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
    over(variant("", "late", 1), "home1-over1", 1),
    over(variant("", "late", 1), "home1-over2", 2),
    variant("wait1", "late-wait", 1),
    over(variant("", "late-wait", 1), "wait1-over1", 1),
    over(variant("", "late-wait", 1), "wait1-over2", 2),
    variant("near1", "late-near", 1),
    over(variant("", "late-near", 1), "near1-over1", 1),
    over(variant("", "late-near", 1), "near1-over2", 2),
    over(variant("", "late-near", 1), "near1-over3", 3),
    over(variant("", "late-near", 2), "near2-over2", 2),
    Variant {
        connections: 20,
        ..over(variant("", "late-near", 1), "forward1-over2", 2)
    },
    Variant {
        hedge: 0.0,
        ..over(variant("", "late-near", 1), "near1-nohedge", 2)
    },
    Variant {
        hedge: 0.0,
        ..variant("late-nohedge", "late", 0)
    },
];

/// Name of the variant that the ticket's defaults give.
pub const DEFAULT_VARIANT: &str = "near1-over2";

/// Returns the variant of a name.
#[must_use]
pub fn get_variant(name: &str) -> Option<Variant> {
    VARIANTS.into_iter().find(|variant| variant.name == name)
}
