//! Renewals of the leases under which entries are registered.

use lentilcart_state::{get_lease_duration, get_renewal_interval};
use lentilcart_util::Micros;

const CONFIGURED: Micros = Micros::from_millis(9000);
/// Time after which a call without a reply has failed.
const CALL_TIMEOUT: Micros = Micros::from_millis(600);

/// Guards against entries that vanish from the list since two replies of the store were lost.
#[test]
fn lease_outlives_two_lost_renewals() {
    for entries in [1, 70, 210, 300] {
        let duration = get_lease_duration(CONFIGURED, entries);
        let retry = get_renewal_interval(duration, true);
        let last =
            get_renewal_interval(duration, false) + CALL_TIMEOUT + retry + CALL_TIMEOUT + retry;
        assert!(
            last + CALL_TIMEOUT < duration,
            "{entries} entries: {last:?}"
        );
    }
}

/// Guards against a cost of renewals, at a tenth of a call each, that grows with the number of entries.
#[test]
fn renewals_of_many_entries_stay_below_target() {
    let interval = get_renewal_interval(get_lease_duration(CONFIGURED, 210), false);
    assert!(0.1 / interval.as_secs() < 0.0125);
    // Small sites keep the configured lease.
    assert_eq!(get_lease_duration(CONFIGURED, 51), CONFIGURED);
}
