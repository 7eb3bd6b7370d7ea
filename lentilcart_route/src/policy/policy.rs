use std::fmt;

use lentilcart_util::common;

use super::pick_context::PickContext;
use super::pick_functions;

common! { value,
    /// What a policy knows of the load of a server, besides this entry's own outstanding requests
    /// and the failures that it has seen.
    pub enum LoadSource {
        /// Nothing besides.
        Own,
        /// Load digests: counts of outstanding requests that entries exchange.
        Digests,
        /// Load reports of the server. The requests of others that the reports show count against
        /// the limit of the server. This also changes the queue: requests that can still meet their
        /// objective come first, and a request may be kept for a faster server although a slow one
        /// is free.
        Reports,
        /// Load probes within the probe budget.
        Probes,
    }
}

/// A load balancing policy.
pub struct Policy {
    /// Name that tickets and settings use.
    pub name: &'static str,
    /// Whether the limit of a server is its estimated slots and the overcommit, so that further
    /// requests are queued in the entry (late binding); otherwise it is
    /// [`PoolConfig::max_connections`](crate::PoolConfig::max_connections), and a request is queued
    /// only beyond that. Either limit is at most `max_connections` and, in an overload, the slots
    /// less [`PoolConfig::reserve`](crate::PoolConfig::reserve).
    pub late_binding: bool,
    /// What the policy learns of the load of the servers.
    pub source: LoadSource,
    /// Picks one of the candidates and returns its server index.
    pub pick: fn(&mut PickContext<'_>) -> usize,
}

impl fmt::Debug for Policy {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("Policy").field(&self.name).finish()
    }
}

const fn new_policy(name: &'static str, pick: fn(&mut PickContext<'_>) -> usize) -> Policy {
    Policy {
        name,
        late_binding: false,
        source: LoadSource::Own,
        pick,
    }
}

/// All policies; the first is the default. Those whose name begins with `late` bind late (see
/// [`Policy::late_binding`]).
pub static POLICIES: [Policy; 11] = [
    // Shortest expected wait, then the request's own data centre and the lowest load by this
    // entry's counts.
    Policy {
        late_binding: true,
        ..new_policy("late-near", pick_functions::local_weighted_wait)
    },
    // Lowest load by this entry's counts.
    Policy {
        late_binding: true,
        ..new_policy("late", pick_functions::least_outstanding)
    },
    // Shortest expected wait, then the lowest load by this entry's counts.
    Policy {
        late_binding: true,
        ..new_policy("late-wait", pick_functions::weighted_wait)
    },
    // Lowest load by the counts of all entries; needs their load digests.
    Policy {
        late_binding: true,
        source: LoadSource::Digests,
        ..new_policy("late-digests", pick_functions::least_outstanding_of_all)
    },
    // Lowest load by this entry's counts, slots of its own shard first; needs the shard.
    Policy {
        late_binding: true,
        ..new_policy("late-shares", pick_functions::own_shard_first)
    },
    // Lowest probability of a missed objective; needs load reports with slowdown factors.
    Policy {
        late_binding: true,
        source: LoadSource::Reports,
        ..new_policy("late-paced", pick_functions::lowest_miss_probability)
    },
    // A random server.
    new_policy("random", pick_functions::random),
    // The servers in turn.
    new_policy("round-robin", pick_functions::round_robin),
    // Lowest load by this entry's counts.
    new_policy("least", pick_functions::least_outstanding),
    // The less loaded of two random servers, by this entry's counts.
    new_policy("two-choices", pick_functions::two_choices),
    // Lowest probe latency among the servers that are not hot; needs load probes.
    Policy {
        source: LoadSource::Probes,
        ..new_policy("probe-pool", pick_functions::probe_pool)
    },
];

/// Returns the policy with this name.
#[must_use]
pub fn get_policy(name: &str) -> Option<&'static Policy> {
    POLICIES.iter().find(|policy| policy.name == name)
}

/// Returns the names of all policies, the default first.
#[must_use]
pub fn get_policy_names() -> Vec<&'static str> {
    POLICIES.iter().map(|policy| policy.name).collect()
}
