use lentilcart_util::Micros;

/// Number of entries up to which a registration has the configured lease; with more, it grows in
/// proportion, so that the renewals of all entries together stay as many.
const BASE_ENTRIES: f64 = 70.0;
/// Largest factor on the configured lease: an entry that was lost stays listed for that long.
const MAX_FACTOR: f64 = 3.0;
/// Share of a lease after which it is renewed: below a third, so that a lease outlives two lost renewals.
const RENEW_SHARE: f64 = 0.3;
/// Share of a lease after which a renewal that failed is repeated.
const RETRY_SHARE: f64 = 0.1;

/// Returns the duration of the lease of a registration, from the configured one and the number of
/// entries.
#[must_use]
pub fn get_lease_duration(configured: Micros, entries: usize) -> Micros {
    configured.scaled((entries as f64 / BASE_ENTRIES).clamp(1.0, MAX_FACTOR))
}

/// Returns the time from one renewal of a lease to the next, or to its repetition if it failed.
#[must_use]
pub fn get_renewal_interval(lease: Micros, failed: bool) -> Micros {
    lease.scaled(if failed { RETRY_SHARE } else { RENEW_SHARE })
}
