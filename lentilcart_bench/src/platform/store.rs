use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use lentilcart::platform::HostList;
use lentilcart::state::VersionedValue;

use super::faults::Faults;

/// State of the stand-in.
#[derive(Debug, Default)]
pub(super) struct Store {
    pub(super) keys: BTreeMap<String, VersionedValue>,
    pub(super) leases: BTreeMap<String, (String, Instant)>,
    pub(super) hosts: HostList,
    pub(super) calls: BTreeMap<&'static str, u64>,
    pub(super) faults: Faults,
    version: u64,
}

impl Store {
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

    pub(super) fn lease(&mut self, name: &str, holder: &str, length: Duration) -> bool {
        let now = Instant::now();
        let free = self
            .leases
            .get(name)
            .is_none_or(|(by, until)| by == holder || *until <= now);
        if free {
            let lease = (holder.to_owned(), now + length);
            self.leases.insert(name.to_owned(), lease);
        }
        free
    }
}
