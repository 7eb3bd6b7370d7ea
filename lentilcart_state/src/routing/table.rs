use std::sync::Arc;

use lentilcart_util::{Map, Name};

use super::{CallerLimits, PathRule};

/// What holds for all servers of a service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceRules {
    /// Path that tells a server's health and load.
    pub health_path: Name,
    /// Connections that a server accepts from all entries together.
    pub connections: u32,
}

/// All routes of one version, whole.
#[derive(Debug, Default)]
pub struct RouteTable {
    /// Number of the version; 0 before the first.
    pub number: u64,
    /// Services by name.
    pub services: Map<Name, ServiceRules>,
    /// Rules by host and then by path prefix.
    pub hosts: Map<Name, Map<Name, Arc<PathRule>>>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

impl RouteTable {
    /// Returns the rule with the longest prefix that begins the path.
    ///
    /// `host` is compared without its port and without regard to case.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&Arc<PathRule>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let rules = match self.hosts.get(name) {
            Some(rules) => rules,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        path.rmatch_indices('/')
            .find_map(|(at, _)| rules.get(&path[..=at]))
    }
}
