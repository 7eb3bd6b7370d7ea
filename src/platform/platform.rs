use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use futures::future::BoxFuture;
use lentilcart_state::{KvReply, KvRequest, VersionedValue};
use lentilcart_util::Name;

use super::model::{Hosts, Watched};

type Call<A, R> = Box<dyn Fn(A) -> BoxFuture<'static, R> + Send + Sync>;

/// Calls made to the platform, by kind.
#[derive(Debug, Default)]
pub struct Calls {
    /// Reads.
    pub gets: AtomicU64,
    /// Compare-and-swaps.
    pub swaps: AtomicU64,
    /// Watches, of keys and of the host list.
    pub watches: AtomicU64,
    /// Lease calls.
    pub leases: AtomicU64,
    /// Calls of any kind that got no answer.
    pub lost: AtomicU64,
}

/// The platform's service as a struct of functions.
pub struct Platform {
    /// Reads or swaps a key.
    pub ask: Call<KvRequest, KvReply>,
    /// Waits until a key has another version than the given one, or until the time has passed.
    pub watch: Call<(Name, u64, Duration), Watched<VersionedValue>>,
    /// Takes or renews a lease for a holder; returns whether the holder has it.
    pub lease: Call<(Name, Name, Duration), Result<bool, String>>,
    /// Waits until the host list has another version, or until the time has passed.
    pub hosts: Call<(u64, Duration), Watched<Hosts>>,
    /// Calls made.
    pub calls: Arc<Calls>,
}

impl fmt::Debug for Platform {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Platform")
            .field("calls", &self.calls)
            .finish_non_exhaustive()
    }
}

impl Calls {
    /// Returns the number of calls of each kind.
    #[must_use]
    pub fn get_counts(&self) -> [(&'static str, u64); 5] {
        [
            ("get", &self.gets),
            ("swap", &self.swaps),
            ("watch", &self.watches),
            ("lease", &self.leases),
            ("lost", &self.lost),
        ]
        .map(|(kind, count)| (kind, count.load(Ordering::Relaxed)))
    }

    pub(crate) fn count(counter: &AtomicU64) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}
