use lentilcart_util::Micros;
use xxhash_rust::xxh3::xxh3_64;

use crate::routing::AccountLimit;

/// Number of groups of accounts. Each group has one owner, so that an entry exchanges messages with at most
/// so many others.
pub const GROUP_COUNT: usize = 8;
/// Set of groups; bit `i` stands for group `i`.
pub type GroupSet = u8;
/// Time for which a share is delegated, by the clock of the entry that delegates it.
pub const DELEGATION_TTL: Micros = Micros::from_millis(600);
/// Time for which credit may be used, by the clock of the entry that holds it, from when it asked.
pub const CREDIT_TTL: Micros = Micros::from_millis(400);
/// Time between two messages of an entry to an owner: a delegation survives the loss of one of them.
pub const ASK_INTERVAL: Micros = Micros::from_millis(200);
/// Part of the reserve that a bucket may hold beyond the burst, so that an account without a burst can use
/// its rate.
const LEVEL_RESERVE_SHARE: f64 = 0.3;
/// Part of the reserve that a bucket and the credit granted from it may have together beyond the burst. The
/// rest covers what clocks differ by.
const TOTAL_RESERVE_SHARE: f64 = 0.9;

/// The tolerance of the limits of accounts.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CreditRules {
    /// Length of the window in which requests are counted.
    pub window: Micros,
    /// Share of the allowed requests by which they may be exceeded.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl CreditRules {
    /// Returns the requests that a window may have beyond rate and burst.
    #[must_use]
    pub fn get_reserve(&self, limit: AccountLimit) -> f64 {
        (limit.rate * self.window.as_secs() + limit.burst) * self.overage + self.slack
    }

    /// Returns the most requests that any window may have.
    #[must_use]
    pub fn get_bound(&self, limit: AccountLimit) -> f64 {
        limit.rate * self.window.as_secs() + limit.burst + self.get_reserve(limit)
    }

    /// Returns how much a bucket with all shares holds at most.
    ///
    /// Credit that may be used at some time was in a bucket one [`CREDIT_TTL`] before, or was earned since.
    /// So all buckets and all credit have at most this and `rate` x [`CREDIT_TTL`] together, also where
    /// shares move before the credit from them has ended. The sum is within the total cap.
    #[must_use]
    pub fn get_level_cap(&self, limit: AccountLimit) -> f64 {
        let level = limit.burst + LEVEL_RESERVE_SHARE * self.get_reserve(limit);
        let moved = limit.rate * CREDIT_TTL.as_secs();
        level.min(self.get_total_cap(limit) - moved).max(0.0)
    }

    /// Returns how much a bucket with all shares, and the credit granted from it that may still be used,
    /// have at most together.
    #[must_use]
    pub fn get_total_cap(&self, limit: AccountLimit) -> f64 {
        limit.burst + TOTAL_RESERVE_SHARE * self.get_reserve(limit)
    }
}

/// Returns the group of an account, by its name.
#[must_use]
pub fn get_group(account: &str) -> usize {
    (xxh3_64(account.as_bytes()) % GROUP_COUNT as u64) as usize
}

/// Returns whether a set has a group.
pub(super) const fn has_group(groups: GroupSet, group: usize) -> bool {
    groups & (1 << group) != 0
}
