use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{Method, Request, StatusCode};
use lentilcart::{Dialer, full};
use lentilcart_util::Micros;
use tokio::task::JoinSet;

use super::shot::{Ending, Shot, Sight};
use crate::servers::body_of;
use crate::util::sleep_until;

const PATIENCE: Duration = Duration::from_secs(20);

/// Where requests are sent and how.
#[derive(Debug, Clone)]
pub struct Targets {
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
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
    let dialer = Arc::new(Dialer::new(source, tokio_util::task::TaskTracker::new()));
    let mut tasks = JoinSet::new();
    for (index, shot) in shots.iter().enumerate() {
        let planned = start + Duration::from(shot.at);
        sleep_until(planned).await;
        let (targets, dialer, shot) = (targets.clone(), dialer.clone(), shot.clone());
        tasks.spawn(async move {
            let sent = tokio::time::timeout(PATIENCE, send(&targets, &dialer, &shot)).await;
            let ending = sent.unwrap_or(Ending::Unknown);
            let latency = Micros::from(planned.elapsed());
            (index, Sight { ending, latency })
        });
    }
    let lost = Sight {
        ending: Ending::Unknown,
        latency: Micros::ZERO,
    };
    let mut sights = vec![lost; shots.len()];
    while let Some(ended) = tasks.join_next().await {
        if let Ok((index, sight)) = ended {
            sights[index] = sight;
        }
    }
    sights
}

async fn send(targets: &Targets, dialer: &Dialer, shot: &Shot) -> Ending {
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
    let Ok(request) = request.body(full(sent.clone())) else {
        return Ending::Wrong;
    };
    let reply = match dialer.send(targets.entries[shot.entry], request).await {
        Ok(reply) => reply,
        Err(lentilcart::SendError::NotSent(..)) => return Ending::NotRun,
        Err(_) => return Ending::Unknown,
    };
    let answer = reply.into_streamed(|_| ());
    let told = answer.headers().get("lentilcart-outcome").cloned();
    let status = answer.status();
    let Ok(body) = answer.into_body().collect().await else {
        return Ending::Unknown;
    };
    match told.as_ref().and_then(|told| told.to_str().ok()) {
        Some("not-run") => Ending::NotRun,
        Some(_) => Ending::Unknown,
        None if status == StatusCode::OK && body.to_bytes() == body_of(&id, shot.size, &sent) => {
            Ending::Answered
        }
        None => Ending::Wrong,
    }
}
