use std::sync::Arc;

use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use lentilcart_route::ServerSummary;
use lentilcart_state::Service;
use lentilcart_util::{Micros, Name};
use serde::Serialize;

use super::metrics::render_metrics;
use super::view::{ServedView, ServerView, ServiceView, StatusView};
use crate::entry::Entry;
use crate::http::{HttpBody, full_body};

const SILENT: Micros = Micros::from_millis(3000);

/// Answers operators and the platform's balancer.
pub(crate) async fn serve_operator(
    entry: Arc<Entry>,
    request: Request<Incoming>,
) -> Response<HttpBody> {
    let is_read = matches!(request.method(), &Method::GET | &Method::HEAD);
    match request.uri().path() {
        _ if !is_read => text(
            StatusCode::METHOD_NOT_ALLOWED,
            "only GET is answered here\n",
        ),
        "/live" => text(StatusCode::OK, "live\n"),
        "/ready" if is_ready(&entry) => text(StatusCode::OK, "ready\n"),
        "/ready" => text(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        "/metrics" => text(StatusCode::OK, &render_metrics()),
        "/status" => json(&status(&entry)),
        "/served" => json(&served(&entry)),
        _ => text(
            StatusCode::NOT_FOUND,
            "known paths: /live, /ready, /metrics, /status, /served\n",
        ),
    }
}

fn is_ready(entry: &Entry) -> bool {
    !entry.is_leaving() && entry.get_active_tickets().state.number > 0
}

fn text(status: StatusCode, text: &str) -> Response<HttpBody> {
    let builder = Response::builder()
        .status(status)
        .header("content-type", "text/plain");
    builder
        .body(full_body(text.to_owned()))
        .expect("the parts are valid")
}

fn json(value: &impl Serialize) -> Response<HttpBody> {
    let body = serde_json::to_vec(value).expect("views have text keys");
    let builder = Response::builder().header("content-type", "application/json");
    builder.body(full_body(body)).expect("the parts are valid")
}

fn status(entry: &Entry) -> StatusView {
    let view = entry.get_active_tickets();
    let now = entry.clock.now();
    let counts = entry.platform.calls.get_counts().into_iter();
    let members = entry.lock_members();
    let others = members
        .iter()
        .filter(|(name, _)| **name != entry.settings.name);
    let peers =
        others.map(|(name, row)| (name.clone(), row.last_heartbeat.map(|at| millis(now - at))));
    let peers = peers.collect();
    drop(members);
    let (hedges, hedges_won) = entry.stats.get_hedges();
    StatusView {
        entry: entry.settings.name.clone(),
        data_center: entry.settings.data_center.clone(),
        number: view.state.number,
        id: view.state.id.clone(),
        confirmed_ms: entry.get_confirmed_age().map(millis),
        ready: is_ready(entry),
        leaving: entry.is_leaving(),
        uptime_ms: millis(now),
        in_flight: entry.stats.get_in_flight(),
        peers,
        platform_calls: counts
            .map(|(kind, count)| (Name::from(kind), count))
            .collect(),
        control_bytes: entry.stats.get_control_bytes(),
        grant_bytes: entry.stats.get_permit_bytes(),
        probes: entry.stats.get_probes(),
        hedges,
        hedges_won,
    }
}

fn served(entry: &Entry) -> ServedView {
    let view = entry.get_active_tickets();
    let services = view.state.services.values().map(|(_, service)| service);
    let mut services: Vec<ServiceView> = services
        .filter_map(|service| {
            let desk = view.dispatchers.get(&service.name)?;
            Some(desk.read_pool(|pool| service_view(entry, service, pool)))
        })
        .collect();
    services.sort_by(|a, b| a.service.cmp(&b.service));
    ServedView {
        entry: entry.settings.name.clone(),
        number: view.state.number,
        services,
    }
}

fn service_view(
    entry: &Entry,
    service: &Service,
    pool: &lentilcart_route::ServerPool,
) -> ServiceView {
    let now = entry.clock.now();
    ServiceView {
        service: service.name.clone(),
        homes: entry.get_owners(service),
        waiting: pool.get_queue_len() as u64,
        p50_ms: pool.get_latency_quantile(0.5).map(Micros::as_millis),
        p99_ms: pool.get_latency_quantile(0.99).map(Micros::as_millis),
        servers: pool
            .get_summaries()
            .into_iter()
            .map(|row| server_view(row, now))
            .collect(),
    }
}

fn server_view(row: ServerSummary, now: Micros) -> ServerView {
    let is_silent = row.outstanding > 0 && row.last_answered.is_some_and(|at| now - at > SILENT);
    let state = if is_silent {
        "silent"
    } else {
        row.phase.as_str()
    };
    ServerView {
        address: row.config.address,
        data_center: row.config.data_center,
        state: state.into(),
        outstanding: row.outstanding,
        slots: row.config.slots,
        answered: row.answered,
        failed: row.failed,
        mean_ms: row.mean_latency / 1e3,
        heard_ms: row.last_answered.map(|at| millis(now - at)),
        load: row.report.map(|(load, _)| load.get_requests()),
    }
}

fn millis(length: Micros) -> u64 {
    length.0 / 1000
}
