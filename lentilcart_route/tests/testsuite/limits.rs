//! Token bucket and hedger.

use lentilcart_route::{Hedger, TokenBucket};
use lentilcart_util::Micros;

/// Guards against a daemon that spends a full burst at each of many restarts.
#[test]
fn token_bucket_starts_empty() {
    let mut bucket = TokenBucket::new(10.0, 5.0, Micros::ZERO);
    assert!(!bucket.try_take(1.0));
    bucket.refill(Micros::from_millis(100));
    assert!(bucket.try_take(1.0));
    assert!(!bucket.try_take(0.1));
}

#[test]
fn token_bucket_holds_burst() {
    let mut bucket = TokenBucket::new(10.0, 5.0, Micros::ZERO);
    bucket.refill(Micros::from_millis(60_000));
    assert!((bucket.get_tokens() - 5.0).abs() < 1e-9);
    bucket.force_take(7.0);
    assert!(
        !bucket.try_take(0.0),
        "an overdrawn bucket must refill first"
    );
}

#[test]
fn hedger_budget_shrinks_without_wins() {
    let hedges_of = |win: bool| {
        let mut hedger = Hedger::new(0.05, Micros::ZERO);
        let mut sent = 0;
        for n in 0..20_000 {
            hedger.record_latency(Micros(n * 1000), Micros::from_millis(20));
            if hedger.try_take() {
                sent += 1;
                hedger.record_hedge(win);
            }
        }
        sent
    };
    let (won, lost) = (hedges_of(true), hedges_of(false));
    assert!(
        won <= 1000 && won > 900,
        "hedges must stay within their share of 20000 requests: {won}"
    );
    assert!(
        lost * 5 < won,
        "the budget must shrink while hedges do not win: {lost} of {won}"
    );
}

#[test]
fn hedger_off_sends_nothing() {
    let mut hedger = Hedger::new(0.0, Micros::ZERO);
    (0..1000).for_each(|n| hedger.record_latency(Micros(n), Micros(1000)));
    assert_eq!(hedger.get_delay(), None);
    assert!(!hedger.try_take());
}
