//! Claims of idempotency keys over a key-value store of the embedding program: of two attempts with
//! the same key, only the first acquires the claim.

use std::collections::BTreeMap;

use lentilcart_state::{
    ClaimLog, ClaimOp, KeyDigest, KvReply, KvRequest, ProtocolStep, VersionedValue,
};

/// Time of the example, in milliseconds of Unix time.
const NOW_MILLIS: u64 = 1000;
/// Expiry of the claims, in milliseconds of Unix time.
const EXPIRES_MILLIS: u64 = 61_000;

/// Answers a request as a key-value service with compare-and-swap does.
fn call(kv: &mut BTreeMap<String, VersionedValue>, request: KvRequest) -> KvReply {
    match request {
        KvRequest::Get { key } => KvReply::Value(kv.get(key.as_str()).cloned()),
        KvRequest::CompareAndSwap {
            key,
            expected_version,
            value,
        } => {
            let stored = kv.get(key.as_str());
            match stored.map_or(0, |stored| stored.version) {
                version if version == expected_version => {
                    let version = version + 1;
                    kv.insert(key.to_string(), VersionedValue { version, value });
                    KvReply::Swapped(version)
                }
                _ => KvReply::Refused(stored.cloned()),
            }
        }
    }
}

fn main() {
    let mut kv = BTreeMap::new();
    let mut log = ClaimLog::new("claim/orders".into());
    for claimant in ["first", "second"] {
        log.push(ClaimOp::Acquire {
            digest: KeyDigest::of("order-17"),
            claimant: claimant.into(),
            expires: EXPIRES_MILLIS,
        });
    }
    let Some(mut request) = log.start(NOW_MILLIS) else {
        return;
    };
    loop {
        match log.step(call(&mut kv, request), NOW_MILLIS) {
            ProtocolStep::Request(next) => request = next,
            ProtocolStep::Wait(_) => unreachable!("a log never waits"),
            ProtocolStep::Done(verdicts) => return println!("{verdicts:?}"),
        }
    }
}
