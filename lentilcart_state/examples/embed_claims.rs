//! Embeds the claims of idempotency keys over a store of one's own.

use std::collections::BTreeMap;

use lentilcart_state::{Ask, ClaimLog, Digest, Next, Op, Reply, Versioned};

const NOW_MILLIS: u64 = 1000;
const EXPIRES_MILLIS: u64 = 61_000;

/// Answers as a key-value service with compare-and-swap does.
fn call(store: &mut BTreeMap<String, Versioned>, ask: Ask) -> Reply {
    match ask {
        Ask::Get { key } => Reply::Value(store.get(key.as_str()).cloned()),
        Ask::Swap { key, expect, value } => {
            let stored = store.get(key.as_str());
            match stored.map_or(0, |stored| stored.version) {
                version if version == expect => {
                    let version = version + 1;
                    store.insert(key.to_string(), Versioned { version, value });
                    Reply::Swapped(version)
                }
                _ => Reply::Refused(stored.cloned()),
            }
        }
    }
}

fn main() {
    let mut store = BTreeMap::new();
    let mut log = ClaimLog::new("claim/orders".into());
    for by in ["first", "second"] {
        log.push(Op::Take {
            digest: Digest::of("order-17"),
            by: by.into(),
            expires: EXPIRES_MILLIS,
        });
    }
    let Some(mut ask) = log.start(NOW_MILLIS) else {
        return;
    };
    loop {
        match log.step(call(&mut store, ask), NOW_MILLIS) {
            Next::Ask(next) => ask = next,
            Next::Wait(_) => unreachable!("a log never waits"),
            Next::Done(verdicts) => return println!("{verdicts:?}"),
        }
    }
}
