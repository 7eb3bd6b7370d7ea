use std::sync::Arc;

use lentilcart_util::{Map, Name};

use super::{CallerLimits, PathRoute};

/// What holds for all servers of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Path that tells a server's health and load.
    pub health_path: Name,
    /// Connections that a server accepts from all entries together.
    pub max_connections: u32,
}

/// All routes of one version, whole.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Number of the version; 0 before the first.
    pub number: u64,
    /// Services by name.
    pub services: Map<Name, ServiceLimits>,
    /// Rules by host and then by path prefix.
    pub hosts: Map<Name, Map<Name, Arc<PathRoute>>>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Returns the rule with the longest prefix that begins the path.
    ///
    /// `host` is compared without its port and without regard to case.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Arc<PathRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rules = match self.hosts.get(name) {
            Some(rules) => rules,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        path.rmatch_indices('/')
            .find_map(|(at, _)| rules.get(&path[..=at]))
    }
}
