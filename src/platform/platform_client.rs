use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use lentilcart_state::{KvReply, KvRequest, VersionedValue};
use lentilcart_util::Name;

use super::model::{HostList, WatchOutcome};

type Call<A, R> = Box<dyn Fn(A) -> BoxFuture<'static, R> + Send + Sync>;

/// Calls made to the platform, by kind.
#[derive(Debug, Default)]
pub struct CallCounters {
    /// Reads.
    pub gets: AtomicU64,
    /// Compare-and-swaps.
    pub swaps: AtomicU64,
    /// Watches, of keys and of the host list.
    pub watches: AtomicU64,
    /// Lease calls.
    pub leases: AtomicU64,
    /// Calls of any kind that got no answer.
    pub unanswered: AtomicU64,
}

/// The platform's service as a struct of functions.
pub struct PlatformClient {
    /// Reads or swaps a key.
    pub call_kv: Call<KvRequest, KvReply>,
    /// Waits until a key has another version than the given one, or until the time has passed.
    pub watch_key: Call<(Name, u64, Duration), WatchOutcome<VersionedValue>>,
    /// Takes or renews a lease for a holder; returns whether the holder has it.
    pub acquire_lease: Call<(Name, Name, Duration), Result<bool, String>>,
    /// Waits until the host list has another version, or until the time has passed.
    pub watch_hosts: Call<(u64, Duration), WatchOutcome<HostList>>,
    /// Calls made.
    pub calls: Arc<CallCounters>,
}

impl fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlatformClient")
            .field("calls", &self.calls)
            .finish_non_exhaustive()
    }
}

impl CallCounters {
    /// Returns the number of calls of each kind.
    #[must_use]
    pub fn get_counts(&self) -> [(&'static str, u64); 5] {
        [
            ("get", &self.gets),
            ("swap", &self.swaps),
            ("watch", &self.watches),
            ("lease", &self.leases),
            ("lost", &self.unanswered),
        ]
        .map(|(kind, count)| (kind, count.load(Ordering::Relaxed)))
    }

    pub(crate) fn increment(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
