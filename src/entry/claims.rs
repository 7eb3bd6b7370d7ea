use std::sync::{Arc, Mutex};
use std::time::Duration;

use lentilcart_state::{ClaimShard, ClaimState, Digest, Next, Op, Verdict};
use lentilcart_util::{Map, Name};
use tokio::sync::oneshot;

use super::entry::Entry;
use crate::util::unix_millis;

const SHARDS: u32 = 4;

/// Claims of idempotency keys: collects the changes of a shard and writes them together.
#[derive(Debug)]
pub(crate) struct Claims {
    every: Duration,
    shards: Mutex<Map<Name, Arc<Mutex<Desk>>>>,
}

#[derive(Debug)]
struct Desk {
    shard: ClaimShard,
    busy: bool,
    waiting: Map<u64, oneshot::Sender<Verdict>>,
}

/// A claim that this entry holds. One that is dropped before its end is recorded as unknown.
#[derive(Debug)]
pub(crate) struct Held {
    entry: Arc<Entry>,
    shard: Name,
    digest: Digest,
    by: Name,
    ended: bool,
}

impl Claims {
    pub(crate) fn new(every: Duration) -> Self {
        Self {
            every,
            shards: Mutex::default(),
        }
    }

    fn desk(&self, key: &Name) -> Arc<Mutex<Desk>> {
        let mut shards = self.shards.lock().expect("no panic under lock");
        let desk = shards.entry(key.clone()).or_insert_with(|| {
            let shard = ClaimShard::new(key.clone());
            Arc::new(Mutex::new(Desk {
                shard,
                busy: false,
                waiting: Map::default(),
            }))
        });
        desk.clone()
    }
}

impl Held {
    /// Claims a key of a service.
    pub(crate) async fn take(
        entry: &Arc<Entry>,
        service: &str,
        key: &str,
        keep: Duration,
    ) -> Result<Self, Verdict> {
        let digest = Digest::of(service, key);
        let shard: Name = format!("claim/{service}/{}", digest.get_shard(SHARDS)).into();
        let by = entry.next_attempt();
        let expires = unix_millis() + keep.as_millis() as u64;
        let op = Op::Take {
            digest,
            by: by.clone(),
            expires,
        };
        match change(entry, &shard, op).await {
            Verdict::Stored => Ok(Self {
                entry: entry.clone(),
                shard,
                digest,
                by,
                ended: false,
            }),
            verdict => Err(verdict),
        }
    }

    /// Gives the claim back, since the request was not run.
    pub(crate) async fn release(mut self) {
        self.ended = true;
        let op = Op::Release {
            digest: self.digest,
            by: self.by.clone(),
        };
        change(&self.entry, &self.shard, op).await;
    }

    /// Records what became of the request, without waiting for it.
    pub(crate) fn record(mut self, state: ClaimState) {
        self.spawn_record(state);
    }

    fn spawn_record(&mut self, state: ClaimState) {
        self.ended = true;
        let (entry, shard) = (self.entry.clone(), self.shard.clone());
        let op = Op::Record {
            digest: self.digest,
            by: self.by.clone(),
            state,
        };
        let tasks = entry.tasks.clone();
        tasks.spawn(async move { change(&entry, &shard, op).await });
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        if !self.ended {
            self.spawn_record(ClaimState::Unknown);
        }
    }
}

/// Waits until a change is stored, refused, or lost.
async fn change(entry: &Arc<Entry>, key: &Name, op: Op) -> Verdict {
    let desk = entry.claims.desk(key);
    let (sender, verdict) = oneshot::channel();
    let is_first = {
        let mut desk = desk.lock().expect("no panic under lock");
        let serial = desk.shard.push(op);
        desk.waiting.insert(serial, sender);
        !std::mem::replace(&mut desk.busy, true)
    };
    if is_first {
        let entry = entry.clone();
        let tasks = entry.tasks.clone();
        tasks.spawn(async move { write_all(&entry, &desk).await });
    }
    verdict.await.unwrap_or(Verdict::Unavailable)
}

/// Writes a shard's changes, batch after batch, until none is left.
async fn write_all(entry: &Arc<Entry>, desk: &Mutex<Desk>) {
    loop {
        let pause = tokio::time::sleep(entry.claims.every);
        let first = desk
            .lock()
            .expect("no panic under lock")
            .shard
            .start(unix_millis());
        let Some(mut ask) = first else {
            let mut desk = desk.lock().expect("no panic under lock");
            if desk.shard.is_idle() && !desk.shard.is_pending() {
                desk.busy = false;
                return;
            }
            continue;
        };
        loop {
            let reply = (entry.platform.ask)(ask).await;
            let mut desk = desk.lock().expect("no panic under lock");
            match desk.shard.step(reply, unix_millis()) {
                Next::Ask(next) => ask = next,
                Next::Wait(_) => unreachable!("a shard never waits"),
                Next::Done(verdicts) => {
                    for (serial, verdict) in verdicts {
                        desk.waiting.remove(&serial).map(|s| s.send(verdict).ok());
                    }
                    break;
                }
            }
        }
        pause.await;
    }
}
