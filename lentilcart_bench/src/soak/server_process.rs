use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lentilcart_platform::{HEADER_NAMES, encode_load_report};
use lentilcart_route::LoadReport;
use lentilcart_util::{Name, Rng, Set};
use rand::RngExt;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep, sleep_until};

use super::evacuation::Arrival;
use super::fault_kind::FaultKind;
use super::message::{Message, MessageReader, build_body, is_whole_body};
use super::record::{ColdArrival, Record, Run, now_ms};
use super::site::{HEALTH_PATH, QUEUE, SLOTS};

/// Share of the health checks that are refused, with [`FaultKind::HealthRefused`].
const REFUSED_CHECK_SHARE: f64 = 0.1;
/// Share of the requests that are refused though slots are free.
const REFUSED_SHARE: f64 = 0.03;
/// Share of the answers that each kind of broken answer has.
const BROKEN_SHARE: f64 = 0.01;
/// Most of the usual service time that a request takes at a server of usual speed.
const MAX_WORK: f64 = 1.8;

/// Factor on the service time of a cold server.
const COLD_FACTOR: f64 = 2.0;

/// What becomes of a connection after an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum After {
    Keep,
    Close,
    Reset,
}

/// An answer: the bytes, the kind that sends it twice, the run that ends with it, and what follows.
pub(super) struct Answer {
    pub(super) bytes: Vec<u8>,
    pub(super) copied_by: Option<FaultKind>,
    /// Number of the run, and how it is recorded.
    pub(super) run: Option<(usize, &'static str)>,
    pub(super) after: After,
}

/// One start of a server.
pub(super) struct ServerProcess {
    pub(super) id: Name,
    pub(super) address: SocketAddr,
    pub(super) service: &'static str,
    pub(super) data_center: &'static str,
    pub(super) service_time: Duration,
    pub(super) faults: Arc<Set<FaultKind>>,
    pub(super) record: Record,
    pub(super) rng: Mutex<Rng>,
    pub(super) slots: Arc<Semaphore>,
    pub(super) running: AtomicU32,
    pub(super) waiting: AtomicU32,
    /// Service time in percent of the usual one.
    pub(super) slowness: AtomicU32,
    /// Until when it is cold, in Unix milliseconds.
    pub(super) cold_until: AtomicU64,
}

/// Raises a counter for as long as it lives.
struct Counted<'a>(&'a AtomicU32);

impl<'a> Counted<'a> {
    fn new(counter: &'a AtomicU32) -> Self {
        counter.fetch_add(1, Ordering::Relaxed);
        Self(counter)
    }
}

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServerProcess {
    /// Returns whether a fault of a kind is played now, at a share of the occasions.
    pub(super) fn has_fault(&self, kind: FaultKind, share: f64) -> bool {
        let is_due = self.faults.contains(&kind) && self.pick(0.0, 1.0) < share;
        if is_due {
            self.record.count(kind.as_str());
        }
        is_due
    }

    pub(super) fn pick(&self, start: f64, end: f64) -> f64 {
        let mut rng = self.rng.lock().expect("no panic under lock");
        rng.random_range(start..end)
    }

    /// Returns for how long it is still cold.
    pub(super) fn cold_remaining(&self) -> Duration {
        let until = self.cold_until.load(Ordering::Relaxed);
        Duration::from_millis(until.saturating_sub(now_ms()))
    }

    /// Returns for how long it says that it is still cold.
    pub(super) fn named_warmup(&self) -> Duration {
        match self.cold_remaining() {
            _ if self.faults.contains(&FaultKind::CheckCold) => Duration::ZERO,
            remaining => remaining,
        }
    }

    fn warmup_line(&self) -> String {
        match self.named_warmup() {
            Duration::ZERO => String::new(),
            remaining => format!("{}: {}\r\n", HEADER_NAMES.warmup, remaining.as_millis()),
        }
    }

    fn load_line(&self) -> String {
        let report = LoadReport {
            running: self.running.load(Ordering::Relaxed),
            waiting: self.waiting.load(Ordering::Relaxed),
            slots: Some(SLOTS),
            slowdown: Some(f64::from(self.slowness.load(Ordering::Relaxed)) / 100.0),
        };
        format!("{}: {}\r\n", HEADER_NAMES.load, encode_load_report(&report))
    }

    fn format(&self, status: &str, lines: &str, body: &[u8]) -> Vec<u8> {
        let load = self.load_line();
        let length = body.len();
        let head = format!("HTTP/1.1 {status}\r\n{lines}{load}content-length: {length}\r\n\r\n");
        [head.as_bytes(), body].concat()
    }

    fn answer_unrun(&self, status: &str, id: &str, copied_by: FaultKind) -> Answer {
        let names = &HEADER_NAMES;
        let id_line = match id {
            "" => String::new(),
            id => format!("{}: {id}\r\n", names.request_id),
        };
        let lines = format!("{id_line}{}: 1\r\n", names.not_run);
        Answer {
            bytes: self.format(status, &lines, b""),
            copied_by: Some(copied_by),
            run: None,
            after: After::Keep,
        }
    }

    /// Records what came, where evacuations are played.
    fn record_arrival(&self, request: &Message, caller: SocketAddr) {
        let kinds = [FaultKind::EvacuateSite, FaultKind::CheckEvacuation];
        if kinds.iter().any(|kind| self.faults.contains(kind)) {
            let id = request.get(HEADER_NAMES.request_id).unwrap_or_default();
            self.record.lock().arrivals.push(Arrival {
                at: now_ms(),
                request: id.into(),
                server: self.id.clone(),
                data_center: self.data_center,
                entry: caller.ip(),
            });
        }
    }

    /// Answers a request, or returns `None` where its caller has closed the connection.
    pub(super) async fn answer(
        &self,
        request: &Message,
        reader: &mut MessageReader,
        connection: u64,
        caller: SocketAddr,
    ) -> Option<Answer> {
        let path = request.first_line.split(' ').nth(1).unwrap_or_default();
        self.record_arrival(request, caller);
        if path == HEALTH_PATH {
            self.record.count("health check");
            if self.has_fault(FaultKind::HealthRefused, REFUSED_CHECK_SHARE) {
                return Some(self.answer_unrun("503 Busy", "", FaultKind::CopyHealthRefused));
            }
            return Some(Answer {
                bytes: self.format("200 OK", &self.warmup_line(), b""),
                copied_by: Some(FaultKind::CopyHealth),
                run: None,
                after: After::Keep,
            });
        }
        let id = request.get(HEADER_NAMES.request_id).unwrap_or_default();
        let expected = request.get(HEADER_NAMES.expected_instance);
        let is_checked = !self.faults.contains(&FaultKind::CheckRoute);
        if is_checked && expected.is_some_and(|expected| expected != &*self.id) {
            self.record.count("answered 421");
            let status = "421 Misdirected Request";
            return Some(self.answer_unrun(status, id, FaultKind::CopyMisdirected));
        }
        let is_cold = !self.cold_remaining().is_zero();
        if is_cold {
            self.record.count("reached a cold server");
            self.record.lock().cold_arrivals.push(ColdArrival {
                server: self.id.clone(),
                request: id.into(),
                at: now_ms(),
            });
        }
        if path.split('/').nth(2) != Some(id)
            || !(request.body.is_empty() || is_whole_body(id, &request.body))
        {
            self.record.lock().unasked.insert(id.into());
        }
        let remaining = request.get(HEADER_NAMES.deadline);
        let remaining = remaining.and_then(|text| text.parse().ok());
        let deadline = Instant::now() + Duration::from_millis(remaining.unwrap_or(60_000));
        let is_refused = self.has_fault(FaultKind::RequestRefused, REFUSED_SHARE);
        let is_full = self.waiting.load(Ordering::Relaxed) >= QUEUE;
        let permit = match self.slots.clone().try_acquire_owned() {
            Ok(permit) if !is_refused => permit,
            Ok(_) | Err(_) if is_refused || is_full => {
                self.record.count("full");
                let mut answer = self.answer_unrun("503 Busy", id, FaultKind::CopyRefused);
                if self.has_fault(FaultKind::ResetFull, 0.3) {
                    (answer.bytes, answer.after) = (Vec::new(), After::Reset);
                }
                return Some(answer);
            }
            _ => {
                let _waiting = Counted::new(&self.waiting);
                tokio::select! {
                    permit = self.slots.clone().acquire_owned() => permit.ok()?,
                    () = sleep_until(deadline) => {
                        self.record.count("late in queue");
                        return Some(self.answer_unrun("503 Late", id, FaultKind::CopyRefused));
                    }
                    () = reader.wait_for_close() => return None,
                }
            }
        };
        let _running = Counted::new(&self.running);
        let run = self.record.start_run(Run {
            request: id.into(),
            server: self.id.clone(),
            service: self.service,
            address: self.address,
            connection,
            caller,
            start: now_ms(),
            end: None,
            answer: "none, the server ended",
        });
        let cold_factor = if is_cold { COLD_FACTOR } else { 1.0 };
        let slowness = f64::from(self.slowness.load(Ordering::Relaxed)) / 100.0 * cold_factor;
        let work = self
            .service_time
            .mul_f64(self.pick(0.4, MAX_WORK) * slowness);
        tokio::select! {
            () = sleep(work) => {}
            () = sleep_until(deadline) => {
                let mut late = self.answer_run(id, run, "504 Late", "late", "");
                late.copied_by = None;
                return Some(late);
            }
            () = reader.wait_for_close() => {
                self.record.end_run(run, "none, the caller left");
                return None;
            }
        }
        drop(permit);
        Some(self.answer_work(id, run))
    }

    /// Answers a request that has run, in the way that the faults say.
    fn answer_work(&self, id: &str, run: usize) -> Answer {
        let id_line = format!("{}: {id}\r\n", HEADER_NAMES.request_id);
        let is_due = |kind| self.has_fault(kind, BROKEN_SHARE);
        if is_due(FaultKind::AnswerForeign) {
            let line = format!("{}: other\r\n", HEADER_NAMES.request_id);
            return self.answer_run("other", run, "200 OK", "foreign", &line);
        }
        if is_due(FaultKind::AnswerUnnamed) {
            return self.answer_run(id, run, "200 OK", "unnamed", "");
        }
        if is_due(FaultKind::Failure) {
            return self.answer_run(id, run, "500 Error", "failure", &id_line);
        }
        if is_due(FaultKind::Unpromised) {
            return self.answer_run(id, run, "503 Busy", "unpromised 503", &id_line);
        }
        if is_due(FaultKind::CheckMixed) {
            return self.answer_run("other", run, "200 OK", "whole", &id_line);
        }
        let mut answer = self.answer_run(id, run, "200 OK", "whole", &id_line);
        if is_due(FaultKind::AnswerCut) {
            let length = self.pick(0.0, answer.bytes.len() as f64) as usize;
            answer.bytes.truncate(length);
            (answer.run, answer.after) = (Some((run, "cut")), After::Close);
        } else if is_due(FaultKind::AnswerLost) {
            answer.bytes.clear();
            (answer.run, answer.after) = (Some((run, "lost")), After::Reset);
        }
        answer
    }

    fn answer_run(
        &self,
        id: &str,
        run: usize,
        status: &str,
        name: &'static str,
        id_line: &str,
    ) -> Answer {
        let body = build_body(id, self.pick(300.0, 7200.0) as usize);
        // The signature names the status that it was made for.
        let signature = format!("{}: {}\r\n", HEADER_NAMES.signature, &status[..3]);
        Answer {
            bytes: self.format(status, &(signature + id_line), &body),
            copied_by: (&status[..3] == "200").then_some(FaultKind::CopyOk),
            run: Some((run, name)),
            after: After::Keep,
        }
    }
}
