use std::sync::Arc;

use lentilcart_util::{Map, Name};

use super::{CallerLimits, PathRoute};

/// What a route table says of the servers of a service: health path and connection limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Path under which a server reports its health and load.
    pub health_path: Name,
    /// Maximum number of connections that a server accepts from all entries together.
    pub max_connections: u32,
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
    /// Limits on what callers may send.
    pub limits: CallerLimits,
}

impl RouteTable {
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
