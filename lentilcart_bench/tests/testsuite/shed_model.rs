//! Comparison of rules of load shedding.

use lentilcart_bench::model::{PATTERNS, bound_value, simulate_shedding};
use lentilcart_route::get_shed_rule;

/// Guards against a comparison in which requests get lost or are counted twice, and a bound that a rule exceeds.
#[test]
fn bound_is_above_every_pattern() {
    for pattern in PATTERNS {
        for name in ["wait-share", "adaptive-objective"] {
            let rule = get_shed_rule(name).unwrap();
            let score = simulate_shedding(pattern, rule, rule.plans, 1);
            let sum = score.in_time + score.late + score.refused;
            // The rest are requests at servers that were lost.
            assert!(
                sum > 0.95 && sum < 1.001,
                "{} {name}: {score:?}",
                pattern.name
            );
            let bound = bound_value(pattern, 1);
            assert!(
                score.value <= bound,
                "{} {name}: {score:?} above {bound}",
                pattern.name
            );
        }
    }
}

/// Guards against a run that cannot be replayed, so that differences between rules would be noise.
#[test]
fn run_is_replayed_from_its_seed() {
    let rule = get_shed_rule("adaptive-objective").unwrap();
    let play = || format!("{:?}", simulate_shedding(PATTERNS[0], rule, true, 3));
    assert_eq!(play(), play());
}
