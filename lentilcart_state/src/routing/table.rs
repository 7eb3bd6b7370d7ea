use std::sync::Arc;
use std::sync::atomic::Ordering;

use lentilcart_util::{Map, Micros, Name};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{AccountTable, CallerLimits, PathRoute};

/// What a route table says of the servers of a service: health path, connection limit and warm-up.
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceLimits {
    /// Path under which a server reports its health and load.
    pub health_path: Name,
    /// Maximum number of connections that a server accepts from all entries together.
    pub max_connections: u32,
    /// Limit on the requests of a cold server; `None` for no limit.
    pub warmup: Option<WarmupLimit>,
}

/// Limit on the requests of a cold server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WarmupLimit {
    /// Time for which a server is cold after it has started.
    pub duration: Micros,
    /// Requests a second that a cold server takes from all entries together.
    pub rate: f64,
}

/// The complete routes of one version.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Version of the routes; 0 before the first table arrives.
    pub version: u64,
    /// Health path and connection limit of each service, by its name.
    pub services: Map<Name, ServiceLimits>,
    /// Routes by host in lower case, then by path prefix.
    pub hosts: Map<Name, Map<Name, Arc<PathRoute>>>,
    /// Client accounts; empty where requests need no key.
    pub accounts: AccountTable,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Lets each route choose services from a place in their sequence that depends on the name of the entry and
    /// the version, so that all entries together keep the weights, however few requests each of them gets.
    pub fn spread_picks(&self, entry: &str) {
        let entry_seed = xxh3_64_with_seed(entry.as_bytes(), self.version);
        for (host, routes) in &self.hosts {
            let seed = xxh3_64_with_seed(host.as_bytes(), entry_seed);
            for (prefix, route) in routes {
                let place = xxh3_64_with_seed(prefix.as_bytes(), seed) as u32;
                route.pick_count.store(place, Ordering::Relaxed);
            }
        }
    }

    /// Returns the host's route with the longest prefix that matches the path.
    ///
    /// `host` is compared without the last colon and what follows it, the port, and without regard
    /// to case. An IPv6 address without a port is therefore not found. The prefix `/a/` does not
    /// match the path `/a`.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<PathRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        path.rmatch_indices('/')
            .find_map(|(slash, _)| routes.get(&path[..=slash]))
    }
}
