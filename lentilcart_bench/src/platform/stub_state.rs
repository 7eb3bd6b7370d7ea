use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use lentilcart::platform::HostList;
use lentilcart::state::VersionedValue;

use super::faults::Faults;

/// State of the platform stub.
#[derive(Debug, Default)]
pub(super) struct PlatformStubState {
    pub(super) keys: BTreeMap<String, VersionedValue>,
    /// Holder and expiry of each lease, by name.
    pub(super) leases: BTreeMap<String, (String, Instant)>,
    pub(super) hosts: HostList,
    /// Number of calls by kind: `get`, `swap`, `watch`, `hosts` or `lease`.
    pub(super) calls: BTreeMap<&'static str, u64>,
    pub(super) faults: Faults,
    /// Version of the latest write of any key.
    version: u64,
}

impl PlatformStubState {
    /// Compare-and-swap: writes a key if its version is `expect`, 0 for a key that does not exist,
    /// and returns the new version.
    ///
    /// # Errors
    ///
    /// Returns the current value, if any, if the version differs.
    pub(super) fn swap(
        &mut self,
        key: &str,
        expect: u64,
        value: String,
    ) -> Result<u64, Option<VersionedValue>> {
        let stored = self.keys.get(key);
        if stored.map_or(0, |stored| stored.version) != expect {
            return Err(stored.cloned());
        }
        self.version += 1;
        let version = self.version;
        self.keys
            .insert(key.to_owned(), VersionedValue { version, value });
        Ok(version)
    }

    /// Grants or renews a lease; returns whether it was granted.
    pub(super) fn lease(&mut self, name: &str, holder: &str, ttl: Duration) -> bool {
        let now = Instant::now();
        let is_free = self
            .leases
            .get(name)
            .is_none_or(|(current_holder, expiry)| current_holder == holder || *expiry <= now);
        if is_free {
            let lease = (holder.to_owned(), now + ttl);
            self.leases.insert(name.to_owned(), lease);
        }
        is_free
    }
}
