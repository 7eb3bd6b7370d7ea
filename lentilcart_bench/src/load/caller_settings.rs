use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode};
use lentilcart::{HttpClient, full_body};
use lentilcart_util::Micros;
use tokio::task::JoinSet;

use super::planned_request::{PlannedRequest, RequestObservation, RequestOutcome};
use crate::servers::expected_body;
use crate::util::sleep_until;

/// Time after which a caller gives up; the outcome is then unknown.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Interval of the readiness checks of an entry.
const READY_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which an unanswered readiness check counts as not ready.
const READY_TIMEOUT: Duration = Duration::from_millis(200);

/// Where and how callers send their requests.
#[derive(Debug, Clone)]
pub struct CallerSettings {
    /// Addresses that requests are sent to, by [`PlannedRequest::entry`].
    pub addresses: Vec<SocketAddr>,
    /// Operators' addresses of the entries, at which readiness is checked as by an external load
    /// balancer in front of the entries; empty to count every entry as ready.
    pub readiness_addresses: Vec<SocketAddr>,
    /// Names of the services, by index; the name is also the first segment of the path.
    pub services: Vec<&'static str>,
    /// Prefix that keeps the request ids of this run apart from those of other runs.
    pub run_name: String,
    /// Whether requests that must run at most once carry an idempotency key.
    pub keyed: bool,
}

/// Sends the requests of a plan and returns what their callers saw, in the order of the plan.
///
/// The load is open-loop: each request is sent at its planned time, whether or not earlier ones were
/// answered.
pub async fn run_load(
    settings: CallerSettings,
    requests: &[PlannedRequest],
    start: Instant,
) -> Vec<RequestObservation> {
    let settings = Arc::new(settings);
    let source = std::net::IpAddr::from([127, 0, 0, 1]);
    let http_client = Arc::new(HttpClient::new(
        source,
        tokio_util::task::TaskTracker::new(),
    ));
    let ready_entries = Arc::new(ReadyEntries::new(settings.addresses.len()));
    let mut polls = JoinSet::new();
    for (entry, address) in settings.readiness_addresses.iter().enumerate() {
        polls.spawn(
            ready_entries
                .clone()
                .poll_readiness(http_client.clone(), entry, *address),
        );
    }
    let mut tasks = JoinSet::new();
    for (index, planned) in requests.iter().enumerate() {
        let planned_at = start + Duration::from(planned.arrival);
        sleep_until(planned_at).await;
        let (settings, http_client, planned) =
            (settings.clone(), http_client.clone(), planned.clone());
        let ready_entries = ready_entries.clone();
        tasks.spawn(async move {
            let finished = tokio::time::timeout(
                REQUEST_TIMEOUT,
                send(&settings, &http_client, &ready_entries, &planned),
            )
            .await;
            let (outcome, server_time) =
                finished.unwrap_or((RequestOutcome::Unknown, Micros::ZERO));
            let latency = Micros::from(planned_at.elapsed());
            let overhead = latency - server_time;
            let observation = RequestObservation {
                outcome,
                latency,
                overhead,
            };
            (index, observation)
        });
    }
    let unfinished = RequestObservation {
        outcome: RequestOutcome::Unknown,
        latency: Micros::ZERO,
        overhead: Micros::ZERO,
    };
    let mut observations = vec![unfinished; requests.len()];
    while let Some(ended) = tasks.join_next().await {
        if let Ok((index, observation)) = ended {
            observations[index] = observation;
        }
    }
    observations
}

/// Whether each entry is ready, by its number, as an external load balancer in front of the entries
/// would see it.
struct ReadyEntries(Vec<AtomicBool>);

impl ReadyEntries {
    fn new(entries: usize) -> Self {
        Self((0..entries).map(|_| AtomicBool::new(true)).collect())
    }

    /// Checks the readiness of an entry at every interval; never returns.
    async fn poll_readiness(
        self: Arc<Self>,
        http_client: Arc<HttpClient>,
        entry: usize,
        address: SocketAddr,
    ) {
        loop {
            let answered =
                tokio::time::timeout(READY_TIMEOUT, is_ready(&http_client, address)).await;
            self.0[entry].store(answered.unwrap_or(false), Ordering::Relaxed);
            tokio::time::sleep(READY_INTERVAL).await;
        }
    }

    /// Returns the entries to try in order: the ready ones, beginning with the preferred one or the
    /// next after it; only the preferred one if none is ready.
    fn get_attempt_order(&self, preferred: usize) -> impl Iterator<Item = usize> {
        let count = self.0.len();
        let all = (0..count).map(move |step| (preferred + step) % count);
        let ready: Vec<usize> = all.filter(|&e| self.0[e].load(Ordering::Relaxed)).collect();
        let fallback = ready.is_empty().then_some(preferred);
        ready.into_iter().chain(fallback)
    }
}

/// Returns whether an entry answers a readiness check with status 200.
async fn is_ready(http_client: &HttpClient, address: SocketAddr) -> bool {
    let Ok(request) = Request::get("/ready")
        .header("host", "bench")
        .body(full_body(""))
    else {
        return false;
    };
    match http_client.send(address, request).await {
        Ok(reply) => {
            let response = reply.into_streamed(|_| ());
            let is_ok = response.status() == StatusCode::OK;
            response.into_body().collect().await.is_ok() && is_ok
        }
        Err(_) => false,
    }
}

/// Sends a request, trying the next ready entry if one cannot be reached; returns its outcome and the
/// time that it spent inside a server, 0 if no complete response said so.
async fn send(
    settings: &CallerSettings,
    http_client: &HttpClient,
    ready_entries: &ReadyEntries,
    planned: &PlannedRequest,
) -> (RequestOutcome, Micros) {
    let id = format!("{}-{}", settings.run_name, planned.id);
    let service = settings.services[planned.service];
    let method = if planned.once {
        Method::POST
    } else {
        Method::GET
    };
    let sent_body: Bytes = if planned.once {
        id.clone().into()
    } else {
        Bytes::new()
    };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("/{service}/item"))
        .header("host", "bench")
        .header("x-id", &id)
        .header("x-work-us", planned.service_time.0)
        .header("x-work-again-us", planned.rerun_time.0)
        .header("x-size", planned.response_bytes);
    if planned.once {
        request = request.header("x-once", 1);
    }
    if planned.once && settings.keyed {
        request = request.header("idempotency-key", &id);
    }
    let Ok(mut request) = request.body(full_body(sent_body.clone())) else {
        return (RequestOutcome::Wrong, Micros::ZERO);
    };
    let mut attempt_order = ready_entries.get_attempt_order(planned.entry);
    let reply = loop {
        let Some(entry) = attempt_order.next() else {
            return (RequestOutcome::NotRun, Micros::ZERO);
        };
        match http_client.send(settings.addresses[entry], request).await {
            Ok(reply) => break reply,
            Err(lentilcart::SendError::NotSent(_, unsent)) => request = *unsent,
            Err(_) => return (RequestOutcome::Unknown, Micros::ZERO),
        }
    };
    let response = reply.into_streamed(|_| ());
    let outcome_header = response.headers().get("lentilcart-outcome").cloned();
    let status = response.status();
    let server_time = response.headers().get("x-inside-us");
    let server_time = server_time.and_then(|value| value.to_str().ok()?.parse().ok());
    let server_time = Micros(server_time.unwrap_or_default());
    let Ok(body) = response.into_body().collect().await else {
        return (RequestOutcome::Unknown, Micros::ZERO);
    };
    let outcome = match outcome_header
        .as_ref()
        .and_then(|outcome_header| outcome_header.to_str().ok())
    {
        Some("not-run") => RequestOutcome::NotRun,
        Some(_) => RequestOutcome::Unknown,
        None if status == StatusCode::OK
            && body.to_bytes() == expected_body(&id, planned.response_bytes, &sent_body) =>
        {
            RequestOutcome::Answered
        }
        None => RequestOutcome::Wrong,
    };
    (outcome, server_time)
}
