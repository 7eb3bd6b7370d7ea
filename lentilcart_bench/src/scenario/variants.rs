use lentilcart_util::Micros;

use crate::cluster::Variant;

/// Heartbeat interval of most variants.
const HEARTBEAT_INTERVAL: Micros = Micros::from_millis(50);
/// Heartbeat interval of the variant `late-digests`.
const FAST_HEARTBEAT_INTERVAL: Micros = Micros::from_millis(5);

/// Returns a variant without overcommit.
const fn variant(name: &'static str, policy: &'static str, owners: u32) -> Variant {
    Variant {
        name,
        policy,
        owners,
        overcommit: 0,
        connections: 200,
        hedge_share: 0.05,
        heartbeat: HEARTBEAT_INTERVAL,
    }
}

/// Returns a variant with overcommit, under `name` instead of its own name.
const fn with_overcommit(base: Variant, name: &'static str, overcommit: u32) -> Variant {
    Variant {
        name,
        overcommit,
        ..base
    }
}

/// Every variant that the bench compares.
///
/// Most names are those of a policy, or of a policy and the number of owners: `home` stands for `late`
/// with owners, `wait` for `late-wait` and `near` for `late-near`. `-overN` adds an overcommit of N;
/// `-nohedge` turns hedging off (`near1-nohedge` has an overcommit of 2 as well). `forward1-over2` is
/// `near1-over2` with so few connections that owners forward requests.
pub const VARIANTS: [Variant; 22] = [
    variant("random", "random", 0),
    variant("round-robin", "round-robin", 0),
    variant("least", "least", 0),
    variant("two-choices", "two-choices", 0),
    variant("probe-pool", "probe-pool", 0),
    variant("late", "late", 0),
    Variant {
        heartbeat: FAST_HEARTBEAT_INTERVAL,
        ..variant("late-digests", "late-digests", 0)
    },
    variant("late-shares", "late-shares", 0),
    variant("home1", "late", 1),
    with_overcommit(variant("", "late", 1), "home1-over1", 1),
    with_overcommit(variant("", "late", 1), "home1-over2", 2),
    variant("wait1", "late-wait", 1),
    with_overcommit(variant("", "late-wait", 1), "wait1-over1", 1),
    with_overcommit(variant("", "late-wait", 1), "wait1-over2", 2),
    variant("near1", "late-near", 1),
    with_overcommit(variant("", "late-near", 1), "near1-over1", 1),
    with_overcommit(variant("", "late-near", 1), "near1-over2", 2),
    with_overcommit(variant("", "late-near", 1), "near1-over3", 3),
    with_overcommit(variant("", "late-near", 2), "near2-over2", 2),
    Variant {
        connections: 20,
        ..with_overcommit(variant("", "late-near", 1), "forward1-over2", 2)
    },
    Variant {
        hedge_share: 0.0,
        ..with_overcommit(variant("", "late-near", 1), "near1-nohedge", 2)
    },
    Variant {
        hedge_share: 0.0,
        ..variant("late-nohedge", "late", 0)
    },
];

/// Name of the variant that equals the defaults of a ticket.
pub const DEFAULT_VARIANT: &str = "near1-over2";

/// Returns the variant with a name.
#[must_use]
pub fn get_variant(name: &str) -> Option<Variant> {
    VARIANTS.into_iter().find(|variant| variant.name == name)
}
