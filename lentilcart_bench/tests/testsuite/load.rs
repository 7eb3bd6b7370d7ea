use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use http_body_util::BodyExt;
use hyper::{Method, Request};
use lentilcart::{HttpClient, SendError, full_body};
use lentilcart_bench::cluster::Cluster;
use lentilcart_bench::servers::body_of;
use tokio::task::JoinHandle;

static STARTS: AtomicUsize = AtomicUsize::new(0);

const CALLERS: usize = 24;
const WORK_MICROS: u64 = 5000;
const PATIENCE: Duration = Duration::from_secs(15);
const RESUBMISSIONS: usize = 3;

/// What callers saw, and what servers ran.
#[derive(Debug, Default)]
pub struct Tally {
    pub wrong: usize,
    pub doubled: usize,
    pub false_not_run: usize,
    pub unknown: usize,
    pub cut: usize,
    pub sent: usize,
}

/// Callers that send one request after another until they are stopped.
pub struct Callers {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    tasks: Vec<JoinHandle<(Tally, Vec<String>)>>,
}

struct Caller {
    start: usize,
    number: usize,
    service: &'static str,
    keyed: bool,
    once: bool,
    entries: Vec<std::net::SocketAddr>,
    http_client: HttpClient,
}

#[derive(Debug, PartialEq)]
enum Seen {
    Answered,
    Wrong,
    NotRun,
    Unknown,
    Cut,
}

impl Callers {
    /// Starts callers: `lookups`, `once`, or `keyed`, whose requests are sent again under their
    /// key through other entries until they have an end.
    pub fn start(cluster: &Cluster, kind: &str) -> Self {
        let start = STARTS.fetch_add(1, Ordering::Relaxed);
        let stop = Arc::new(AtomicBool::new(false));
        let answered = Arc::new(AtomicUsize::new(0));
        let spawn = |number| {
            let caller = Caller {
                start,
                number,
                service: if kind == "lookups" {
                    "catalogue"
                } else {
                    "reservations"
                },
                keyed: kind == "keyed",
                once: kind != "lookups",
                entries: (0..5)
                    .map(|entry| cluster.layout.get_entry(entry))
                    .collect(),
                http_client: HttpClient::new(
                    [127, 0, 0, 1].into(),
                    tokio_util::task::TaskTracker::new(),
                ),
            };
            tokio::spawn(caller.run(stop.clone(), answered.clone()))
        };
        let tasks = (0..CALLERS).map(spawn).collect();
        Self {
            stop,
            answered,
            tasks,
        }
    }

    pub fn get_answered(&self) -> usize {
        self.answered.load(Ordering::Relaxed)
    }

    /// Stops the callers after their last answer, and holds what they were told against what the
    /// servers ran.
    pub async fn stop(self, cluster: &Cluster) -> Tally {
        self.stop.store(true, Ordering::Relaxed);
        let mut total = Tally::default();
        let mut not_run = Vec::new();
        for task in self.tasks {
            let (tally, ids) = task.await.unwrap();
            total.wrong += tally.wrong;
            total.unknown += tally.unknown;
            total.cut += tally.cut;
            total.sent += tally.sent;
            not_run.extend(ids);
        }
        let mut runs: BTreeMap<String, u32> = BTreeMap::new();
        for server in cluster.get_all_servers() {
            let counts = cluster.get::<BTreeMap<String, u32>>(server, "/runs").await;
            for (id, count) in counts.into_iter().flatten() {
                *runs.entry(id).or_default() += count;
            }
        }
        total.doubled = runs.values().filter(|count| **count > 1).count();
        total.false_not_run = not_run.iter().filter(|id| runs.contains_key(*id)).count();
        total
    }
}

impl Caller {
    async fn run(self, stop: Arc<AtomicBool>, answered: Arc<AtomicUsize>) -> (Tally, Vec<String>) {
        let mut tally = Tally::default();
        let mut not_run = Vec::new();
        let mut count = 0;
        while !stop.load(Ordering::Relaxed) {
            count += 1;
            tally.sent += 1;
            let id = format!("s{}c{}-{count}", self.start, self.number);
            match self.submit(&id, count).await {
                Seen::Answered => {
                    answered.fetch_add(1, Ordering::Relaxed);
                }
                Seen::Wrong => tally.wrong += 1,
                Seen::Unknown => tally.unknown += 1,
                Seen::Cut => tally.cut += 1,
                Seen::NotRun => {
                    not_run.push(id);
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
        (tally, not_run)
    }

    /// Sends a request; a keyed one again, through other entries, while its end is not known.
    async fn submit(&self, id: &str, count: usize) -> Seen {
        let mut seen = Seen::NotRun;
        let tries = if self.keyed { RESUBMISSIONS } else { 1 };
        for attempt in 0..tries {
            let entry = self.entries[(self.number + count + attempt) % self.entries.len()];
            let sent = tokio::time::timeout(PATIENCE, self.send(id, entry)).await;
            seen = match (sent.unwrap_or(Seen::Unknown), seen) {
                (end @ (Seen::Answered | Seen::Wrong), _) => return end,
                // What an earlier try left open, a later one does not close.
                (Seen::NotRun, Seen::Unknown | Seen::Cut) => Seen::Unknown,
                (next, _) => next,
            };
        }
        seen
    }

    async fn send(&self, id: &str, entry: std::net::SocketAddr) -> Seen {
        let method = if self.once { Method::POST } else { Method::GET };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("/{}/x", self.service))
            .header("host", "test")
            .header("x-id", id)
            .header("x-size", 500)
            .header("x-work-us", WORK_MICROS);
        if self.once {
            request = request.header("x-once", 1);
        }
        if self.keyed {
            request = request.header("idempotency-key", id);
        }
        let reply = match self
            .http_client
            .send(entry, request.body(full_body("")).unwrap())
            .await
        {
            Ok(reply) => reply,
            Err(SendError::NotSent(..)) => return Seen::NotRun,
            Err(_) => return Seen::Cut,
        };
        let answer = reply.into_streamed(|_| ());
        let told = answer.headers().get("lentilcart-outcome").cloned();
        let status = answer.status();
        let Ok(body) = answer.into_body().collect().await else {
            return Seen::Cut;
        };
        match told.as_ref().and_then(|told| told.to_str().ok()) {
            Some("not-run") => Seen::NotRun,
            Some("done") => Seen::Answered,
            Some(_) => Seen::Unknown,
            None if status == 200 && body.to_bytes() == body_of(id, 500, b"") => Seen::Answered,
            None => Seen::Wrong,
        }
    }
}
