use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lentilcart_route::ServerSummary;
use lentilcart_state::Service;
use lentilcart_util::{Micros, Name};
use serde::Serialize;

use super::metrics::render_metrics;
use super::views::{ServedView, ServerView, ServiceView, StatusView};
use crate::entry::Entry;
use crate::http::{HttpBody, full_body};

/// Time without an answer after which a server with outstanding requests is shown as silent.
const SERVER_SILENCE_TIMEOUT: Micros = Micros::from_millis(3000);

/// Answers a request of an operator or of the platform's readiness check.
pub(crate) async fn serve_operator(
    entry: Arc<Entry>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let is_read = matches!(request.method(), &Method::GET | &Method::HEAD);
    match request.uri().path() {
        _ if !is_read => respond_text(
            StatusCode::METHOD_NOT_ALLOWED,
            "only GET and HEAD are supported\n",
        ),
        "/live" => respond_text(StatusCode::OK, "live\n"),
        "/ready" if is_ready(&entry) => respond_text(StatusCode::OK, "ready\n"),
        "/ready" => respond_text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => respond_text(StatusCode::OK, &render_metrics()),
        "/status" => respond_json(&create_status_view(&entry)),
        "/served" => respond_json(&create_served_view(&entry)),
        _ => respond_text(
            StatusCode::NOT_FOUND,
            "known paths: /live, /ready, /metrics, /status, /served\n",
        ),
    }
}

/// Returns whether the entry has a ticket in force and is not leaving.
fn is_ready(entry: &Entry) -> bool {
    !entry.is_leaving() && entry.get_active_config().state.number > 0
}

fn respond_text(status: StatusCode, text: &str) -> Response<HttpBody> {
    let builder = Response::builder()
        .status(status)
        .header("content-type", "text/plain");
    builder
        .body(full_body(text.to_owned()))
        .expect("the parts are valid")
}

fn respond_json(value: &impl Serialize) -> Response<HttpBody> {
    let body = serde_json::to_vec(value).expect("the keys of all maps are strings");
    let builder = Response::builder().header("content-type", "application/json");
    builder.body(full_body(body)).expect("the parts are valid")
}

fn create_status_view(entry: &Entry) -> StatusView {
    let config = entry.get_active_config();
    let now = entry.clock.now();
    let counts = entry.platform.call_counters.get_counts().into_iter();
    let members = entry.lock_members();
    let others = members
        .iter()
        .filter(|(name, _)| **name != entry.settings.name);
    let peers = others.map(|(name, member)| {
        (
            name.clone(),
            member.last_heartbeat.map(|at| to_whole_millis(now - at)),
        )
    });
    let peers = peers.collect();
    drop(members);
    let (hedges, hedges_won) = entry.stats.get_hedges();
    StatusView {
        entry: entry.settings.name.clone(),
        data_center: entry.settings.data_center.clone(),
        number: config.state.number,
        id: config.state.id.clone(),
        confirmed_age_ms: entry.get_platform_answer_age().map(to_whole_millis),
        ready: is_ready(entry),
        leaving: entry.is_leaving(),
        uptime_ms: to_whole_millis(now),
        in_flight: entry.stats.get_in_flight(),
        peers,
        platform_calls: counts
            .map(|(kind, count)| (Name::from(kind), count))
            .collect(),
        control_bytes: entry.stats.get_control_bytes(),
        permit_bytes: entry.stats.get_per_request_bytes(),
        probes: entry.stats.get_probes(),
        hedges,
        hedges_won,
    }
}

fn create_served_view(entry: &Entry) -> ServedView {
    let config = entry.get_active_config();
    let services = config.state.services.values().map(|(_, service)| service);
    let mut services: Vec<ServiceView> = services
        .filter_map(|service| {
            let dispatcher = config.dispatchers.get(&service.name)?;
            Some(dispatcher.read_pool(|pool| create_service_view(entry, service, pool)))
        })
        .collect();
    services.sort_by(|a, b| a.service.cmp(&b.service));
    ServedView {
        entry: entry.settings.name.clone(),
        number: config.state.number,
        services,
    }
}

fn create_service_view(
    entry: &Entry,
    service: &Service,
    pool: &lentilcart_route::ServerPool,
) -> ServiceView {
    let now = entry.clock.now();
    ServiceView {
        service: service.name.clone(),
        owners: entry.get_owners(service),
        queued: pool.get_queue_len() as u64,
        p50_ms: pool.get_latency_quantile(0.5).map(Micros::as_millis),
        p99_ms: pool.get_latency_quantile(0.99).map(Micros::as_millis),
        servers: pool
            .get_summaries()
            .into_iter()
            .map(|server| create_server_view(server, now))
            .collect(),
    }
}

fn create_server_view(server: ServerSummary, now: Micros) -> ServerView {
    let is_silent = server.outstanding > 0
        && server
            .last_answered
            .is_some_and(|at| now - at > SERVER_SILENCE_TIMEOUT);
    let state = if is_silent {
        "silent"
    } else {
        server.phase.as_str()
    };
    ServerView {
        address: server.config.address,
        data_center: server.config.data_center,
        state: state.into(),
        outstanding: server.outstanding,
        slots: server.config.slots,
        answered: server.answered,
        failed: server.failed,
        mean_ms: server.mean_latency / 1e3,
        answer_age_ms: server.last_answered.map(|at| to_whole_millis(now - at)),
        load: server.report.map(|(load, _)| load.get_requests()),
    }
}

fn to_whole_millis(duration: Micros) -> u64 {
    duration.0 / 1000
}
