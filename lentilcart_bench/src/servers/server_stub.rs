use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};
use lentilcart_util::Micros;
use serde_json::json;
use tokio::sync::Semaphore;

use super::server_mode::ServerMode;
use super::slowdowns::Slowdowns;
use crate::util::{
    ConnectionOptions, data_center_of, json_response, serve, sleep_until, text_response,
    unix_micros,
};

/// Connections that a server holds open at the same time.
const MAX_CONNECTIONS: usize = 200;
/// Time that opening a connection takes.
const OPEN_DELAY: Duration = Duration::from_millis(1);
/// Time for which slowdowns are drawn, from their start; a server is not slowed after that.
const SLOWDOWN_HORIZON: Micros = Micros::from_millis(600_000);
/// Service time during a cold start, as a multiple of the usual one.
const COLD_FACTOR: f64 = 5.0;

/// Stub of a server.
///
/// Headers of a request give its service time in microseconds (`x-work-us`, and `x-work-again-us` for
/// attempts beyond the first), its id (`x-id`) and the size of its response after the checksum in
/// bytes (`x-size`); with
/// `x-once` its executions are counted. `GET /runs` returns the executions by id, `GET /count` the
/// counts of requests, probes and refused connections.
#[derive(Debug)]
pub struct ServerStub {
    address: SocketAddr,
    slots: Semaphore,
    /// One-way latency from and to clients in other data centres.
    one_way: Micros,
    /// Requests inside the server, queued or running.
    in_flight: AtomicUsize,
    /// Connections closed because too many were open.
    refused: Arc<AtomicUsize>,
    state: Mutex<ServerStubState>,
}

/// State that a lock guards.
#[derive(Debug)]
struct ServerStubState {
    mode: ServerMode,
    slowdowns: Arc<Slowdowns>,
    /// Executions of the requests that must run at most once, by id.
    runs: BTreeMap<String, u32>,
    /// Requests that began to run.
    started: u64,
    /// Requests of `/load` so far.
    probes: u64,
}

/// Keeps a request counted as inside the server until it is dropped.
struct InFlightGuard<'a>(&'a AtomicUsize);

impl Drop for InFlightGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServerStub {
    /// Creates a server that runs `slots` requests at the same time; requests from another data centre
    /// take `one_way` more in each direction.
    #[must_use]
    pub fn new(address: SocketAddr, slots: usize, one_way: Micros) -> Arc<Self> {
        Arc::new(Self {
            address,
            slots: Semaphore::new(slots),
            one_way,
            in_flight: AtomicUsize::new(0),
            refused: Arc::default(),
            state: Mutex::new(ServerStubState {
                mode: ServerMode::default(),
                slowdowns: Arc::new(Slowdowns::none()),
                runs: BTreeMap::new(),
                started: 0,
                probes: 0,
            }),
        })
    }

    /// Serves until the task is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound, or if a connection cannot be accepted or set
    /// up.
    pub async fn serve(self: Arc<Self>) -> std::io::Result<()> {
        let (address, refused) = (self.address, self.refused.clone());
        let options = ConnectionOptions {
            open_delay: OPEN_DELAY,
            max_open: MAX_CONNECTIONS,
        };
        let handler = move |remote, request| {
            let server = self.clone();
            async move { Some(server.respond(remote, request).await) }
        };
        serve(address, options, refused, handler).await
    }

    async fn respond(
        &self,
        remote: SocketAddr,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        match request.uri().path() {
            "/mode" => self.set_mode(request).await,
            "/runs" => {
                let state = self.state.lock().expect("no panic under lock");
                json_response(StatusCode::OK, &json!(state.runs))
            }
            "/count" => {
                let refused = self.refused.load(Ordering::Relaxed);
                let state = self.state.lock().expect("no panic under lock");
                let counts = json!({
                    "served": state.started,
                    "probes": state.probes,
                    "refused": refused,
                });
                json_response(StatusCode::OK, &counts)
            }
            "/load" => {
                self.state.lock().expect("no panic under lock").probes += 1;
                self.with_load(text_response(StatusCode::OK, ""))
            }
            _ => {
                self.delay_transit(remote).await;
                let response = self.execute(request).await;
                self.delay_transit(remote).await;
                response
            }
        }
    }

    /// Sets the mode from the body; a new epoch or seed draws a new slowdown schedule.
    async fn set_mode(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = request
            .into_body()
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        let Ok(Ok(mode)) = body.map(|body| serde_json::from_slice::<ServerMode>(&body)) else {
            return text_response(StatusCode::BAD_REQUEST, "invalid mode");
        };
        let mut state = self.state.lock().expect("no panic under lock");
        if mode.epoch != state.mode.epoch || mode.seed != state.mode.seed {
            let schedule = match mode.epoch {
                0 => Slowdowns::none(),
                _ => Slowdowns::draw(mode.seed, SLOWDOWN_HORIZON),
            };
            state.slowdowns = Arc::new(schedule);
        }
        state.mode = mode;
        text_response(StatusCode::OK, "")
    }

    /// Waits for the network latency of one direction if the client is in another data centre.
    async fn delay_transit(&self, remote: SocketAddr) {
        if self.one_way > Micros::ZERO
            && data_center_of(remote.ip()) != data_center_of(self.address.ip())
        {
            sleep_until(Instant::now() + Duration::from(self.one_way)).await;
        }
    }

    /// Rejects a request by the mode, or queues it for a slot, runs it and returns its response.
    async fn execute(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let headers = parts.headers;
        let (mode, slowdowns) = {
            let state = self.state.lock().expect("no panic under lock");
            (state.mode.clone(), state.slowdowns.clone())
        };
        let in_flight = self.in_flight.load(Ordering::Relaxed);
        if mode.failing || (mode.shed_at > 0 && in_flight >= mode.shed_at) {
            return self.with_load(text_response(StatusCode::SERVICE_UNAVAILABLE, "rejected"));
        }
        if mode.draining {
            let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "leaving");
            response
                .headers_mut()
                .insert("lentilcart-leaving", 1.into());
            return self.with_load(response);
        }
        self.in_flight.fetch_add(1, Ordering::Relaxed);
        let guard = InFlightGuard(&self.in_flight);
        let Ok(received) = body.collect().await else {
            return text_response(StatusCode::BAD_REQUEST, "incomplete body");
        };
        let slot_guard = self
            .slots
            .acquire()
            .await
            .expect("the semaphore is never closed");
        let id = get_text_header(&headers, "x-id");
        {
            let mut state = self.state.lock().expect("no panic under lock");
            state.started += 1;
            if headers.contains_key("x-once") {
                *state.runs.entry(id.clone()).or_default() += 1;
            }
        }
        let is_rerun =
            headers.contains_key("lentilcart-attempt") && headers.contains_key("x-work-again-us");
        let service_time = get_number_header(
            &headers,
            if is_rerun {
                "x-work-again-us"
            } else {
                "x-work-us"
            },
        );
        sleep_until(get_completion_instant(
            &mode,
            &slowdowns,
            Micros(service_time),
        ))
        .await;
        let response = expected_body(
            &id,
            get_number_header(&headers, "x-size") as usize,
            &received.to_bytes(),
        );
        drop(slot_guard);
        let mut response = self.with_load(text_response(StatusCode::OK, response));
        let inside_us = arrived.elapsed().as_micros() as u64;
        response
            .headers_mut()
            .insert("x-inside-us", inside_us.into());
        drop(guard);
        response
    }

    /// Adds the reported load, the number of requests inside, to a response; a misleading server
    /// reports 0.
    fn with_load(&self, mut response: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
        let misleading = self
            .state
            .lock()
            .expect("no panic under lock")
            .mode
            .misleading;
        let load = if misleading {
            0
        } else {
            self.in_flight.load(Ordering::Relaxed)
        };
        response
            .headers_mut()
            .insert("lentilcart-load", load.into());
        response
    }
}

/// Returns the body that the response to a request must have: the sum of the bytes that the request
/// sent, a colon, then `size` bytes of the id and a dot, repeated.
#[must_use]
pub fn expected_body(id: &str, size: usize, received: &[u8]) -> Vec<u8> {
    let sum: u64 = received.iter().map(|byte| u64::from(*byte)).sum();
    let pattern = format!("{id}.");
    let copies = size.div_ceil(pattern.len());
    let mut body = format!("{sum}:").into_bytes();
    // Byte by byte, a test build takes so long that the runtime stands still.
    body.extend_from_slice(&pattern.repeat(copies).as_bytes()[..size]);
    body
}

/// Returns when a request completes that begins now, by the cold start and the slowdowns.
fn get_completion_instant(
    mode: &ServerMode,
    slowdowns: &Slowdowns,
    service_time: Micros,
) -> Instant {
    let (now, unix) = (Instant::now(), unix_micros());
    let service_time = if unix < mode.cold_until {
        service_time.scaled(COLD_FACTOR)
    } else {
        service_time
    };
    let start = Micros(unix) - Micros(mode.epoch);
    let duration = slowdowns.get_completion(start, service_time) - start;
    now + Duration::from(duration)
}

/// Returns the text of a header, empty if it is missing.
fn get_text_header(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

/// Returns the number in a header, 0 if it is missing or not a number.
fn get_number_header(headers: &HeaderMap, name: &str) -> u64 {
    get_text_header(headers, name).parse().unwrap_or_default()
}
