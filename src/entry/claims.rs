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
    batch_interval: Duration,
    writers: Mutex<Map<Name, Arc<Mutex<ClaimWriter>>>>,
}

#[derive(Debug)]
struct ClaimWriter {
    log: ClaimLog,
    is_writing: bool,
    waiters: Map<u64, (oneshot::Sender<ClaimVerdict>, ClaimOp)>,
    /// End of the pause after the platform did not answer.
    unavailable_until: Option<Instant>,
}

impl Claims {
    pub(crate) fn new(batch_interval: Duration) -> Self {
        Self {
            batch_interval,
            writers: Mutex::default(),
        }
    }

    fn get_writer(&self, key: &Name) -> Arc<Mutex<ClaimWriter>> {
        let mut writers = self.writers.lock().expect("no panic under lock");
        let writer = writers.entry(key.clone()).or_insert_with(|| {
            let log = ClaimLog::new(key.clone());
            Arc::new(Mutex::new(ClaimWriter {
                log,
                is_writing: false,
                waiters: Map::default(),
                unavailable_until: None,
            }))
        });
        writer.clone()
    }
}

/// Claims a key of a service.
pub(crate) async fn acquire_claim(
    entry: &Arc<Entry>,
    service: &str,
    claim: &ClaimRequest,
) -> ClaimVerdict {
    let op = ClaimOp::Acquire {
        digest: claim.digest,
        claimant: claim.holder.clone(),
        expires: unix_millis() + claim.retention.0 / 1000,
    };
    submit_op(entry, &log_key(service), op).await
}

/// Records what became of a claimed request, or gives its key back, without waiters for it.
pub(crate) fn update_claim(
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
    let (entry, key) = (entry.clone(), log_key(service));
    let tasks = entry.tasks.clone();
    tasks.spawn(async move { submit_op(&entry, &key, op).await });
}

fn log_key(service: &str) -> Name {
    format!("claim/{service}").into()
}

/// Brings what this entry knows of a service's claims up to date, so that it can take over.
pub(crate) async fn refresh_claims(entry: &Arc<Entry>, service: &str) {
    submit_op(entry, &log_key(service), ClaimOp::Refresh).await;
}

/// Waits until a change is stored, refused, or lost.
async fn submit_op(entry: &Arc<Entry>, key: &Name, op: ClaimOp) -> ClaimVerdict {
    let writer = entry.claims.get_writer(key);
    let (sender, verdict) = oneshot::channel();
    let is_first = {
        let mut writer = writer.lock().expect("no panic under lock");
        match (&op, writer.unavailable_until) {
            (ClaimOp::Acquire { .. }, Some(until)) if Instant::now() < until => {
                return ClaimVerdict::Unavailable;
            }
            _ => {}
        }
        let serial = writer.log.push(op.clone());
        writer.waiters.insert(serial, (sender, op));
        !std::mem::replace(&mut writer.is_writing, true)
    };
    if is_first {
        let entry = entry.clone();
        let tasks = entry.tasks.clone();
        tasks.spawn(async move { write_batches(&entry, &writer).await });
    }
    verdict.await.unwrap_or(ClaimVerdict::Unavailable)
}

/// Writes a log's changes, batch after batch, until none is left.
async fn write_batches(entry: &Entry, writer: &Mutex<ClaimWriter>) {
    let mut backoff = Backoff::default();
    loop {
        let interval = tokio::time::sleep(entry.claims.batch_interval);
        let Some(mut request) = writer.lock().expect("no panic under lock").start_batch() else {
            return;
        };
        let is_answered = loop {
            let reply = (entry.platform.ask)(request).await;
            let mut writer = writer.lock().expect("no panic under lock");
            match writer.log.step(reply, unix_millis()) {
                ProtocolStep::Request(next) => request = next,
                ProtocolStep::Wait(_) => unreachable!("a log never waits"),
                ProtocolStep::Done(verdicts) => break writer.deliver_verdicts(verdicts),
            }
        };
        if is_answered {
            backoff = Backoff::default();
            interval.await;
        } else {
            let delay = backoff.next();
            writer
                .lock()
                .expect("no panic under lock")
                .unavailable_until = Some(Instant::now() + delay);
            tokio::time::sleep(delay).await;
        }
    }
}

impl ClaimWriter {
    /// Returns the first request of the next batch; without one the writer ends.
    fn start_batch(&mut self) -> Option<KvRequest> {
        let request = self.log.start(unix_millis());
        self.is_writing = request.is_some();
        request
    }

    /// Passes verdicts on; a claim whose request has given up is given back. Returns whether the
    /// platform answered.
    fn deliver_verdicts(&mut self, verdicts: Vec<(u64, ClaimVerdict)>) -> bool {
        let mut is_answered = true;
        for (serial, verdict) in verdicts {
            is_answered &= verdict != ClaimVerdict::Unavailable;
            let Some((sender, op)) = self.waiters.remove(&serial) else {
                continue;
            };
            let is_delivered = sender.send(verdict).is_ok();
            match op {
                ClaimOp::Acquire {
                    digest, claimant, ..
                } if !is_delivered && verdict == ClaimVerdict::Stored => {
                    self.log.push(ClaimOp::Release { digest, claimant });
                }
                _ => {}
            }
        }
        is_answered
    }
}
