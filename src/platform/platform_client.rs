use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use lentilcart_state::{KvReply, KvRequest, VersionedValue};
use lentilcart_util::Name;

use super::host_list::{HostList, WatchOutcome};

/// An asynchronous function from `A` to `R`.
type Call<A, R> = Box<dyn Fn(A) -> BoxFuture<'static, R> + Send + Sync>;

/// Counters of the calls made to the platform since the start, by kind.
#[derive(Debug, Default)]
pub struct CallCounters {
    /// Reads of a key.
    pub gets: AtomicU64,
    /// Compare-and-swaps of a key.
    pub swaps: AtomicU64,
    /// Watches of a key or of the host list.
    pub watches: AtomicU64,
    /// Calls that acquire or renew a lease.
    pub leases: AtomicU64,
    /// Calls of any kind that got no answer; they are counted in their kind as well.
    pub unanswered: AtomicU64,
}

/// A client of the ticket platform. Entries that take their services from change tickets and the
/// command line use it; gateways use [`StoreClient`](super::StoreClient). Its functions are fields, so
/// that an embedder or a test can replace them.
pub struct PlatformClient {
    /// Reads a key, or writes it by a compare-and-swap.
    pub call_kv: Call<KvRequest, KvReply>,
    /// Waits until a key has another version than the given one, or until the time has passed.
    ///
    /// The arguments are the key, the version that is known, and the longest time to wait.
    pub watch_key: Call<(Name, u64, Duration), WatchOutcome<VersionedValue>>,
    /// Acquires or renews a lease; returns whether the holder has it now.
    ///
    /// The arguments are the name of the lease, the name of the holder, and the time until the
    /// lease expires.
    pub acquire_lease: Call<(Name, Name, Duration), Result<bool, String>>,
    /// Waits until the host list has another version than the given one, or until the time has
    /// passed.
    ///
    /// The arguments are the version that is known and the longest time to wait.
    pub watch_hosts: Call<(u64, Duration), WatchOutcome<HostList>>,
    /// Counters of the calls made through this client.
    pub call_counters: Arc<CallCounters>,
}

impl fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("PlatformClient")
            .field("call_counters", &self.call_counters)
            .finish_non_exhaustive()
    }
}

impl CallCounters {
    /// Returns the name and the number of calls of each kind.
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
