use std::collections::BTreeMap;

use lentilcart_state::{KvReply, KvRequest, VersionedValue};
use proptest::prelude::*;

/// Outcome of one call to the key-value service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call takes effect and is answered.
    Answered,
    /// The call takes effect and its reply is lost.
    ReplyLost,
    /// The call has no effect and no reply.
    Dropped,
    /// The call takes effect later, long after the code that made it has given up on the reply.
    Delayed,
}

/// A key-value service with compare-and-swap, whose calls can be dropped or delayed and whose replies
/// can be lost.
#[derive(Debug, Clone, Default)]
pub struct KvService {
    keys: BTreeMap<String, VersionedValue>,
    /// Calls that have not taken effect yet, the oldest first.
    delayed: Vec<KvRequest>,
    version: u64,
}

/// Generates outcomes, most of them answered.
pub fn any_outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        6 => Just(Outcome::Answered),
        1 => Just(Outcome::ReplyLost),
        1 => Just(Outcome::Dropped),
        1 => Just(Outcome::Delayed),
    ]
}

impl KvService {
    /// Makes a call with a given outcome and returns the reply.
    pub fn call(&mut self, request: KvRequest, outcome: Outcome) -> KvReply {
        let no_answer = KvReply::Lost("no answer".to_owned());
        match outcome {
            Outcome::Answered => self.apply(request),
            Outcome::ReplyLost => {
                self.apply(request);
                no_answer
            }
            Outcome::Dropped => no_answer,
            Outcome::Delayed => {
                self.delayed.push(request);
                no_answer
            }
        }
    }

    /// Lets the oldest delayed call take effect.
    pub fn apply_delayed(&mut self) {
        if !self.delayed.is_empty() {
            let request = self.delayed.remove(0);
            self.apply(request);
        }
    }

    fn apply(&mut self, request: KvRequest) -> KvReply {
        match request {
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
