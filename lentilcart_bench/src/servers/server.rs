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

use super::mode::Mode;
use super::slowdown::Slowdowns;
use crate::util::{Conn, center_of, json, serve, sleep_until, text, unix_micros};

const CONNECTIONS: usize = 200;
const OPEN_WAIT: Duration = Duration::from_millis(1);
const SLOWDOWN_LENGTH: Micros = Micros::from_millis(600_000);
const COLD_FACTOR: f64 = 5.0;

/// Stand-in of a server.
///
/// A request names its work (`x-work-us`, and `x-work-again-us` for attempts beyond the first),
/// its id (`x-id`) and the size of its answer (`x-size`).
#[derive(Debug)]
pub struct ServerStub {
    address: SocketAddr,
    slots: Semaphore,
    one_way: Micros,
    inside: AtomicUsize,
    refused: Arc<AtomicUsize>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    mode: Mode,
    slowdowns: Arc<Slowdowns>,
    runs: BTreeMap<String, u32>,
    served: u64,
    probes: u64,
}

/// Counts a request as inside the server until it is dropped.
struct Inside<'a>(&'a AtomicUsize);

impl Drop for Inside<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ServerStub {
    /// Creates a server whose requests from another data centre travel for `one_way` each way.
    #[must_use]
    pub fn new(address: SocketAddr, slots: usize, one_way: Micros) -> Arc<Self> {
        Arc::new(Self {
            address,
            slots: Semaphore::new(slots),
            one_way,
            inside: AtomicUsize::new(0),
            refused: Arc::default(),
            state: Mutex::new(State {
                mode: Mode::default(),
                slowdowns: Arc::new(Slowdowns::none()),
                runs: BTreeMap::new(),
                served: 0,
                probes: 0,
            }),
        })
    }

    /// Serves until the task is dropped.
    ///
    /// # Errors
    ///
    /// Fails where the address cannot be listened on.
    pub async fn serve(self: Arc<Self>) -> std::io::Result<()> {
        let (address, refused) = (self.address, self.refused.clone());
        let conn = Conn {
            open_wait: OPEN_WAIT,
            most: CONNECTIONS,
        };
        let answer = move |remote, request| {
            let server = self.clone();
            async move { Some(server.answer(remote, request).await) }
        };
        serve(address, conn, refused, answer).await
    }

    async fn answer(
        &self,
        remote: SocketAddr,
        request: Request<Incoming>,
    ) -> Response<Full<Bytes>> {
        match request.uri().path() {
            "/mode" => self.set_mode(request).await,
            "/runs" => {
                let state = self.state.lock().expect("no panic under lock");
                json(StatusCode::OK, &json!(state.runs))
            }
            "/count" => {
                let refused = self.refused.load(Ordering::Relaxed);
                let state = self.state.lock().expect("no panic under lock");
                let counts = json!({
                    "served": state.served,
                    "probes": state.probes,
                    "refused": refused,
                });
                json(StatusCode::OK, &counts)
            }
            "/load" => {
                self.state.lock().expect("no panic under lock").probes += 1;
                self.with_load(text(StatusCode::OK, ""))
            }
            _ => {
                self.travel(remote).await;
                let answer = self.work(request).await;
                self.travel(remote).await;
                answer
            }
        }
    }

    async fn set_mode(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let body = request
            .into_body()
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        let Ok(Ok(mode)) = body.map(|body| serde_json::from_slice::<Mode>(&body)) else {
            return text(StatusCode::BAD_REQUEST, "unreadable mode");
        };
        let mut state = self.state.lock().expect("no panic under lock");
        if mode.epoch != state.mode.epoch || mode.seed != state.mode.seed {
            let drawn = match mode.epoch {
                0 => Slowdowns::none(),
                _ => Slowdowns::draw(mode.seed, SLOWDOWN_LENGTH),
            };
            state.slowdowns = Arc::new(drawn);
        }
        state.mode = mode;
        text(StatusCode::OK, "")
    }

    async fn travel(&self, remote: SocketAddr) {
        if self.one_way > Micros::ZERO && center_of(remote.ip()) != center_of(self.address.ip()) {
            sleep_until(Instant::now() + Duration::from(self.one_way)).await;
        }
    }

    async fn work(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let arrived = Instant::now();
        let (parts, body) = request.into_parts();
        let headers = parts.headers;
        let (mode, slowdowns) = {
            let state = self.state.lock().expect("no panic under lock");
            (state.mode.clone(), state.slowdowns.clone())
        };
        let waiting = self.inside.load(Ordering::Relaxed);
        if mode.failing || (mode.shed_at > 0 && waiting >= mode.shed_at) {
            return self.with_load(text(StatusCode::SERVICE_UNAVAILABLE, "rejected"));
        }
        if mode.draining {
            let mut answer = text(StatusCode::SERVICE_UNAVAILABLE, "leaving");
            answer.headers_mut().insert("lentilcart-leaving", 1.into());
            return self.with_load(answer);
        }
        self.inside.fetch_add(1, Ordering::Relaxed);
        let inside = Inside(&self.inside);
        let Ok(received) = body.collect().await else {
            return text(StatusCode::BAD_REQUEST, "the body was cut short");
        };
        let permit = self
            .slots
            .acquire()
            .await
            .expect("the semaphore is never closed");
        let id = text_of(&headers, "x-id");
        {
            let mut state = self.state.lock().expect("no panic under lock");
            state.served += 1;
            if headers.contains_key("x-once") {
                *state.runs.entry(id.clone()).or_default() += 1;
            }
        }
        let again =
            headers.contains_key("lentilcart-attempt") && headers.contains_key("x-work-again-us");
        let work = number_of(
            &headers,
            if again {
                "x-work-again-us"
            } else {
                "x-work-us"
            },
        );
        sleep_until(end_of(&mode, &slowdowns, Micros(work))).await;
        let answer = body_of(
            &id,
            number_of(&headers, "x-size") as usize,
            &received.to_bytes(),
        );
        drop(permit);
        let mut answer = self.with_load(text(StatusCode::OK, answer));
        let took = arrived.elapsed().as_micros() as u64;
        answer.headers_mut().insert("x-inside-us", took.into());
        drop(inside);
        answer
    }

    fn with_load(&self, mut answer: Response<Full<Bytes>>) -> Response<Full<Bytes>> {
        let misleading = self
            .state
            .lock()
            .expect("no panic under lock")
            .mode
            .misleading;
        let load = if misleading {
            0
        } else {
            self.inside.load(Ordering::Relaxed)
        };
        answer.headers_mut().insert("lentilcart-load", load.into());
        answer
    }
}

/// Returns the answer that a request must get: its id repeated to a size, and the sum of the
/// bytes that it sent.
#[must_use]
pub fn body_of(id: &str, size: usize, received: &[u8]) -> Vec<u8> {
    let sum: u64 = received.iter().map(|byte| u64::from(*byte)).sum();
    let mut body: Vec<u8> = format!("{sum}:").into_bytes();
    body.extend(id.bytes().chain(std::iter::once(b'.')).cycle().take(size));
    body
}

fn end_of(mode: &Mode, slowdowns: &Slowdowns, work: Micros) -> Instant {
    let (now, unix) = (Instant::now(), unix_micros());
    let work = if unix < mode.cold_until {
        work.scaled(COLD_FACTOR)
    } else {
        work
    };
    let start = Micros(unix) - Micros(mode.epoch);
    let took = slowdowns.end_of(start, work) - start;
    now + Duration::from(took)
}

fn text_of(headers: &HeaderMap, name: &str) -> String {
    let value = headers.get(name).and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}

fn number_of(headers: &HeaderMap, name: &str) -> u64 {
    text_of(headers, name).parse().unwrap_or_default()
}
