use std::collections::BTreeMap;

use lentilcart_state::{KvReply, KvRequest, VersionedValue};
use proptest::prelude::*;

/// How one call to the store goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// It takes effect and is answered.
    Answered,
    /// It takes effect and the answer is lost.
    AnswerLost,
    /// It has no effect and no answer.
    Dropped,
    /// It takes effect later, long after the caller has given up on the answer.
    Late,
}

/// A key-value store with compare-and-swap whose answers can be lost.
#[derive(Debug, Clone, Default)]
pub struct Store {
    keys: BTreeMap<String, VersionedValue>,
    late: Vec<KvRequest>,
    version: u64,
}

pub fn any_fate() -> impl Strategy<Value = Fate> {
    prop_oneof![
        6 => Just(Fate::Answered),
        1 => Just(Fate::AnswerLost),
        1 => Just(Fate::Dropped),
        1 => Just(Fate::Late),
    ]
}

impl Store {
    pub fn call(&mut self, ask: KvRequest, fate: Fate) -> KvReply {
        let lost = KvReply::Lost("no answer".to_owned());
        match fate {
            Fate::Answered => self.apply(ask),
            Fate::AnswerLost => {
                self.apply(ask);
                lost
            }
            Fate::Dropped => lost,
            Fate::Late => {
                self.late.push(ask);
                lost
            }
        }
    }

    /// Lets the oldest late call take effect.
    pub fn land(&mut self) {
        if !self.late.is_empty() {
            let ask = self.late.remove(0);
            self.apply(ask);
        }
    }

    fn apply(&mut self, ask: KvRequest) -> KvReply {
        match ask {
            KvRequest::Get { key } => KvReply::Value(self.keys.get(key.as_str()).cloned()),
            KvRequest::CompareAndSwap {
                key,
                expected_version,
                value,
            } => {
                let stored = self.keys.get(key.as_str());
                if stored.map_or(0, |stored| stored.version) != expected_version {
                    return KvReply::Refused(stored.cloned());
                }
                self.version += 1;
                let version = self.version;
                self.keys
                    .insert(key.to_string(), VersionedValue { version, value });
                KvReply::Swapped(version)
            }
        }
    }
}
