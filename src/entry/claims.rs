use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use lentilcart_state::{ClaimLog, ClaimOp, ClaimState, ClaimVerdict, KvRequest, ProtocolStep};
use lentilcart_util::{Map, Name};
use tokio::sync::oneshot;

use super::entry::Entry;
use crate::peer::ClaimRequest;
use crate::util::Backoff;
use crate::util::unix_millis;

/// Writers of the claim logs. Changes of a service's claims that arrive while its log is being
/// written are written together in the next batch.
#[derive(Debug)]
pub(crate) struct ClaimWriters {
    /// Shortest time between the starts of two batches of a service.
    batch_interval: Duration,
    /// Writers by key of the log.
    writers: Mutex<Map<Name, Arc<Mutex<ClaimWriter>>>>,
}

/// Writes the claim log of one service.
#[derive(Debug)]
struct ClaimWriter {
    log: ClaimLog,
    /// Whether a task writes batches; only one does at a time.
    is_writing: bool,
    /// By serial number of the change: who waits for its verdict, and the change.
    waiters: Map<u64, (oneshot::Sender<ClaimVerdict>, ClaimOp)>,
    /// End of the backoff after the platform did not answer; claims are refused until then.
    unavailable_until: Option<Instant>,
}

impl ClaimWriters {
    /// Creates a set without writers; `batch_interval` is the shortest time between two batches of
    /// a service.
    pub(crate) fn new(batch_interval: Duration) -> Self {
        Self {
            batch_interval,
            writers: Mutex::default(),
        }
    }

    /// Returns the writer of a log, which is created when it is first used.
    fn get_writer(&self, log_key: &Name) -> Arc<Mutex<ClaimWriter>> {
        let mut writers = self.writers.lock().expect("no panic under lock");
        let writer = writers.entry(log_key.clone()).or_insert_with(|| {
            let log = ClaimLog::new(log_key.clone());
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

/// Claims an idempotency key of a service, and waits for the verdict.
pub(crate) async fn acquire_claim(
    entry: &Arc<Entry>,
    service: &str,
    claim: &ClaimRequest,
) -> ClaimVerdict {
    let op = ClaimOp::Acquire {
        digest: claim.digest,
        claimant: claim.claimant.clone(),
        expires: unix_millis() + claim.retention.0 / 1000,
    };
    submit_op(entry, &get_log_key(service), op).await
}

/// Records the state of a claimed request, or releases the claim if `state` is `None`; returns
/// before the change is stored.
pub(crate) fn update_claim(
    entry: &Arc<Entry>,
    service: &str,
    claim: &ClaimRequest,
    state: Option<ClaimState>,
) {
    let (digest, claimant) = (claim.digest, claim.claimant.clone());
    let op = match state {
        Some(state) => ClaimOp::SetState {
            digest,
            claimant,
            state,
        },
        None => ClaimOp::Release { digest, claimant },
    };
    let (entry, log_key) = (entry.clone(), get_log_key(service));
    let tasks = entry.tasks.clone();
    tasks.spawn(async move { submit_op(&entry, &log_key, op).await });
}

/// Returns the key of a service's claim log in the platform's key-value store.
fn get_log_key(service: &str) -> Name {
    format!("claim/{service}").into()
}

/// Reads the changes of a service's claims from the log, so that this entry can take over as owner
/// without a delay.
pub(crate) async fn refresh_claims(entry: &Arc<Entry>, service: &str) {
    submit_op(entry, &get_log_key(service), ClaimOp::Refresh).await;
}

/// Queues an operation on a log and waits for its verdict. A claim is refused at once while the
/// platform is unavailable; other operations wait for it.
async fn submit_op(entry: &Arc<Entry>, log_key: &Name, op: ClaimOp) -> ClaimVerdict {
    let writer = entry.claims.get_writer(log_key);
    let (sender, verdict) = oneshot::channel();
    let must_start_writer = {
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
    if must_start_writer {
        let entry = entry.clone();
        let tasks = entry.tasks.clone();
        tasks.spawn(async move { write_batches(&entry, &writer).await });
    }
    verdict.await.unwrap_or(ClaimVerdict::Unavailable)
}

/// Writes the changes of a log batch by batch until none is left, with a backoff after each batch
/// that the platform did not answer.
async fn write_batches(entry: &Entry, writer: &Mutex<ClaimWriter>) {
    let mut backoff = Backoff::default();
    loop {
        let interval = tokio::time::sleep(entry.claims.batch_interval);
        let Some(mut request) = writer.lock().expect("no panic under lock").start_batch() else {
            return;
        };
        let is_answered = loop {
            let reply = (entry.platform.call_kv)(request).await;
            let mut writer = writer.lock().expect("no panic under lock");
            match writer.log.step(reply, unix_millis()) {
                ProtocolStep::Request(next) => request = next,
                ProtocolStep::Wait(_) => unreachable!("a claim log never waits"),
                ProtocolStep::Done(verdicts) => break writer.deliver_verdicts(verdicts),
            }
        };
        if is_answered {
            backoff = Backoff::default();
            interval.await;
        } else {
            let delay = backoff.next_delay();
            writer
                .lock()
                .expect("no panic under lock")
                .unavailable_until = Some(Instant::now() + delay);
            tokio::time::sleep(delay).await;
        }
    }
}

impl ClaimWriter {
    /// Starts the next batch and returns its first request to the platform; `None` if nothing is
    /// left to write, which ends the writing task.
    fn start_batch(&mut self) -> Option<KvRequest> {
        let request = self.log.start(unix_millis());
        self.is_writing = request.is_some();
        request
    }

    /// Sends verdicts to their waiters, by serial number of the change. A stored claim whose waiter
    /// is gone is released. Returns whether the platform answered the batch.
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
