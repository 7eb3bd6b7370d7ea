use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lentilcart_state::{ClaimLog, ClaimOp, ClaimState, ClaimVerdict, KvRequest, ProtocolStep};
use lentilcart_util::{Map, Name};
use tokio::sync::oneshot;

use super::entry::Entry;
use crate::peer::ClaimRequest;
use crate::util::Backoff;
use crate::util::unix_millis;

/// Claims of idempotency keys: collects the changes of a service's log and writes them together.
#[derive(Debug)]
pub(crate) struct Claims {
    every: Duration,
    logs: Mutex<Map<Name, Arc<Mutex<ClaimWriter>>>>,
}

#[derive(Debug)]
struct ClaimWriter {
    log: ClaimLog,
    busy: bool,
    waiting: Map<u64, (oneshot::Sender<ClaimVerdict>, ClaimOp)>,
    /// End of the pause after the platform did not answer.
    down_until: Option<Instant>,
}

impl Claims {
    pub(crate) fn new(every: Duration) -> Self {
        Self {
            every,
            logs: Mutex::default(),
        }
    }

    fn desk(&self, key: &Name) -> Arc<Mutex<ClaimWriter>> {
        let mut logs = self.logs.lock().expect("no panic under lock");
        let desk = logs.entry(key.clone()).or_insert_with(|| {
            let log = ClaimLog::new(key.clone());
            Arc::new(Mutex::new(ClaimWriter {
                log,
                busy: false,
                waiting: Map::default(),
                down_until: None,
            }))
        });
        desk.clone()
    }
}

/// Claims a key of a service.
pub(crate) async fn take(entry: &Arc<Entry>, service: &str, claim: &ClaimRequest) -> ClaimVerdict {
    let op = ClaimOp::Acquire {
        digest: claim.digest,
        claimant: claim.holder.clone(),
        expires: unix_millis() + claim.retention.0 / 1000,
    };
    change(entry, &key_of(service), op).await
}

/// Records what became of a claimed request, or gives its key back, without waiting for it.
pub(crate) fn end_claim(
    entry: &Arc<Entry>,
    service: &str,
    claim: &ClaimRequest,
    state: Option<ClaimState>,
) {
    let (digest, claimant) = (claim.digest, claim.holder.clone());
    let op = match state {
        Some(state) => ClaimOp::SetState {
            digest,
            claimant,
            state,
        },
        None => ClaimOp::Release { digest, claimant },
    };
    let (entry, key) = (entry.clone(), key_of(service));
    let tasks = entry.tasks.clone();
    tasks.spawn(async move { change(&entry, &key, op).await });
}

fn key_of(service: &str) -> Name {
    format!("claim/{service}").into()
}

/// Brings what this entry knows of a service's claims up to date, so that it can take over.
pub(crate) async fn read_claims(entry: &Arc<Entry>, service: &str) {
    change(entry, &key_of(service), ClaimOp::Refresh).await;
}

/// Waits until a change is stored, refused, or lost.
async fn change(entry: &Arc<Entry>, key: &Name, op: ClaimOp) -> ClaimVerdict {
    let desk = entry.claims.desk(key);
    let (sender, verdict) = oneshot::channel();
    let is_first = {
        let mut desk = desk.lock().expect("no panic under lock");
        match (&op, desk.down_until) {
            (ClaimOp::Acquire { .. }, Some(until)) if Instant::now() < until => {
                return ClaimVerdict::Unavailable;
            }
            _ => {}
        }
        let serial = desk.log.push(op.clone());
        desk.waiting.insert(serial, (sender, op));
        !std::mem::replace(&mut desk.busy, true)
    };
    if is_first {
        let entry = entry.clone();
        let tasks = entry.tasks.clone();
        tasks.spawn(async move { write_all(&entry, &desk).await });
    }
    verdict.await.unwrap_or(ClaimVerdict::Unavailable)
}

/// Writes a log's changes, batch after batch, until none is left.
async fn write_all(entry: &Entry, desk: &Mutex<ClaimWriter>) {
    let mut backoff = Backoff::default();
    loop {
        let pause = tokio::time::sleep(entry.claims.every);
        let Some(mut ask) = desk.lock().expect("no panic under lock").begin() else {
            return;
        };
        let is_answered = loop {
            let reply = (entry.platform.ask)(ask).await;
            let mut desk = desk.lock().expect("no panic under lock");
            match desk.log.step(reply, unix_millis()) {
                ProtocolStep::Request(next) => ask = next,
                ProtocolStep::Wait(_) => unreachable!("a log never waits"),
                ProtocolStep::Done(verdicts) => break desk.tell(verdicts),
            }
        };
        if is_answered {
            backoff = Backoff::default();
            pause.await;
        } else {
            let length = backoff.next();
            desk.lock().expect("no panic under lock").down_until = Some(Instant::now() + length);
            tokio::time::sleep(length).await;
        }
    }
}

impl ClaimWriter {
    /// Returns the first request of the next batch; without one the writer ends.
    fn begin(&mut self) -> Option<KvRequest> {
        let ask = self.log.start(unix_millis());
        self.busy = ask.is_some();
        ask
    }

    /// Passes verdicts on; a claim whose request has given up is given back. Returns whether the
    /// platform answered.
    fn tell(&mut self, verdicts: Vec<(u64, ClaimVerdict)>) -> bool {
        let mut is_answered = true;
        for (serial, verdict) in verdicts {
            is_answered &= verdict != ClaimVerdict::Unavailable;
            let Some((sender, op)) = self.waiting.remove(&serial) else {
                continue;
            };
            let is_told = sender.send(verdict).is_ok();
            match op {
                ClaimOp::Acquire {
                    digest, claimant, ..
                } if !is_told && verdict == ClaimVerdict::Stored => {
                    self.log.push(ClaimOp::Release { digest, claimant });
                }
                _ => {}
            }
        }
        is_answered
    }
}
