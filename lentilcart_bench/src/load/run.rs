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

use super::shot::{Ending, Shot, Sight};
use crate::servers::body_of;
use crate::util::sleep_until;

const PATIENCE: Duration = Duration::from_secs(20);
const READY_EVERY: Duration = Duration::from_millis(100);
const READY_PATIENCE: Duration = Duration::from_millis(200);

/// Where requests are sent and how.
#[derive(Debug, Clone)]
pub struct Targets {
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Operators' addresses of the entries, where the platform's balancer asks for readiness; empty
    /// for no balancer.
    pub ready: Vec<SocketAddr>,
    /// Names of the services, which are the paths.
    pub services: Vec<&'static str>,
    /// Text that makes the ids of this run unique.
    pub run: String,
    /// Whether requests that run at most once carry an idempotency key.
    pub keyed: bool,
}

/// Sends the requests of a plan at their times, whatever became of earlier ones, and returns what
/// their callers saw, in the order of the plan.
pub async fn run(targets: Targets, shots: &[Shot], start: Instant) -> Vec<Sight> {
    let targets = Arc::new(targets);
    let source = std::net::IpAddr::from([127, 0, 0, 1]);
    let http_client = Arc::new(HttpClient::new(
        source,
        tokio_util::task::TaskTracker::new(),
    ));
    let up = Arc::new(Up::new(targets.entries.len()));
    let mut checks = JoinSet::new();
    for (entry, address) in targets.ready.iter().enumerate() {
        checks.spawn(up.clone().check(http_client.clone(), entry, *address));
    }
    let mut tasks = JoinSet::new();
    for (index, shot) in shots.iter().enumerate() {
        let planned = start + Duration::from(shot.at);
        sleep_until(planned).await;
        let (targets, http_client, shot) = (targets.clone(), http_client.clone(), shot.clone());
        let up = up.clone();
        tasks.spawn(async move {
            let sent =
                tokio::time::timeout(PATIENCE, send(&targets, &http_client, &up, &shot)).await;
            let (ending, inside) = sent.unwrap_or((Ending::Unknown, Micros::ZERO));
            let latency = Micros::from(planned.elapsed());
            let outside = latency - inside;
            let sight = Sight {
                ending,
                latency,
                outside,
            };
            (index, sight)
        });
    }
    let lost = Sight {
        ending: Ending::Unknown,
        latency: Micros::ZERO,
        outside: Micros::ZERO,
    };
    let mut sights = vec![lost; shots.len()];
    while let Some(ended) = tasks.join_next().await {
        if let Ok((index, sight)) = ended {
            sights[index] = sight;
        }
    }
    sights
}

/// Which entries the platform's balancer takes for ready.
struct Up(Vec<AtomicBool>);

impl Up {
    fn new(entries: usize) -> Self {
        Self((0..entries).map(|_| AtomicBool::new(true)).collect())
    }

    /// Asks an entry for its readiness again and again.
    async fn check(
        self: Arc<Self>,
        http_client: Arc<HttpClient>,
        entry: usize,
        address: SocketAddr,
    ) {
        loop {
            let asked = tokio::time::timeout(READY_PATIENCE, is_ready(&http_client, address)).await;
            self.0[entry].store(asked.unwrap_or(false), Ordering::Relaxed);
            tokio::time::sleep(READY_EVERY).await;
        }
    }

    /// Returns the entries to try, the wanted one first where it is ready.
    fn order(&self, wanted: usize) -> impl Iterator<Item = usize> {
        let count = self.0.len();
        let all = (0..count).map(move |step| (wanted + step) % count);
        let ready: Vec<usize> = all.filter(|&e| self.0[e].load(Ordering::Relaxed)).collect();
        let fallback = ready.is_empty().then_some(wanted);
        ready.into_iter().chain(fallback)
    }
}

async fn is_ready(http_client: &HttpClient, address: SocketAddr) -> bool {
    let Ok(request) = Request::get("/ready")
        .header("host", "bench")
        .body(full_body(""))
    else {
        return false;
    };
    match http_client.send(address, request).await {
        Ok(reply) => {
            let answer = reply.into_streamed(|_| ());
            let is_ok = answer.status() == StatusCode::OK;
            answer.into_body().collect().await.is_ok() && is_ok
        }
        Err(_) => false,
    }
}

async fn send(
    targets: &Targets,
    http_client: &HttpClient,
    up: &Up,
    shot: &Shot,
) -> (Ending, Micros) {
    let id = format!("{}-{}", targets.run, shot.id);
    let service = targets.services[shot.service];
    let method = if shot.once { Method::POST } else { Method::GET };
    let sent: Bytes = if shot.once {
        id.clone().into()
    } else {
        Bytes::new()
    };
    let mut request = Request::builder()
        .method(method)
        .uri(format!("/{service}/item"))
        .header("host", "bench")
        .header("x-id", &id)
        .header("x-work-us", shot.work.0)
        .header("x-work-again-us", shot.again.0)
        .header("x-size", shot.size);
    if shot.once {
        request = request.header("x-once", 1);
    }
    if shot.once && targets.keyed {
        request = request.header("idempotency-key", &id);
    }
    let Ok(mut request) = request.body(full_body(sent.clone())) else {
        return (Ending::Wrong, Micros::ZERO);
    };
    let mut order = up.order(shot.entry);
    let reply = loop {
        let Some(entry) = order.next() else {
            return (Ending::NotRun, Micros::ZERO);
        };
        match http_client.send(targets.entries[entry], request).await {
            Ok(reply) => break reply,
            Err(lentilcart::SendError::NotSent(_, unsent)) => request = *unsent,
            Err(_) => return (Ending::Unknown, Micros::ZERO),
        }
    };
    let answer = reply.into_streamed(|_| ());
    let told = answer.headers().get("lentilcart-outcome").cloned();
    let status = answer.status();
    let inside = answer.headers().get("x-inside-us");
    let inside = inside.and_then(|value| value.to_str().ok()?.parse().ok());
    let inside = Micros(inside.unwrap_or_default());
    let Ok(body) = answer.into_body().collect().await else {
        return (Ending::Unknown, Micros::ZERO);
    };
    let ending = match told.as_ref().and_then(|told| told.to_str().ok()) {
        Some("not-run") => Ending::NotRun,
        Some(_) => Ending::Unknown,
        None if status == StatusCode::OK && body.to_bytes() == body_of(&id, shot.size, &sent) => {
            Ending::Answered
        }
        None => Ending::Wrong,
    };
    (ending, inside)
}
