use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use lentilcart_util::{Map, Name, Set};

use super::evacuation::{Arrival, SoakEvacuation};
use crate::util::unix_micros;

/// Returns the Unix time in milliseconds.
pub(super) fn now_ms() -> u64 {
    unix_micros() / 1000
}

/// A run of a request, as its server saw it. Times are Unix milliseconds.
#[derive(Debug, Clone)]
pub struct Run {
    /// Identifier of the request.
    pub request: Name,
    /// Identifier of the server.
    pub server: Name,
    /// Service of the server.
    pub service: &'static str,
    /// Address of the server.
    pub address: SocketAddr,
    /// Number of the connection, counted over all servers.
    pub connection: u64,
    /// Address that the connection came from.
    pub caller: SocketAddr,
    /// Start.
    pub start: u64,
    /// End, `None` where the server ended first.
    pub end: Option<u64>,
    /// What was answered.
    pub answer: &'static str,
}

/// A second copy of an answer that a server plans to send.
#[derive(Debug, Clone)]
pub(super) struct AnswerCopy {
    pub(super) at: u64,
    pub(super) kind: &'static str,
    /// When it is sent.
    pub(super) when: &'static str,
    /// Request that the answer names; empty for a health check.
    pub(super) request: Name,
    pub(super) server: SocketAddr,
    pub(super) caller: SocketAddr,
}

/// What a client saw of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// An answer arrived; holds its status and what is wrong with it, if anything is.
    Answered(u16, Option<String>),
    /// The connection ended without a whole answer; holds the reason.
    Cut(String),
    /// No connection was established.
    NotConnected,
    /// The deadline was reached.
    TimedOut,
}

/// A request as its client saw it. Times are Unix milliseconds.
#[derive(Debug, Clone)]
pub struct SentRequest {
    /// Identifier.
    pub id: Name,
    /// Kind of the request.
    pub kind: &'static str,
    /// Whether it must run at most once.
    pub is_once: bool,
    /// Number of the entry that it was sent to.
    pub entry: usize,
    /// Local address of its connection.
    pub local: Option<SocketAddr>,
    /// Whether its connection had carried other requests.
    pub is_kept: bool,
    /// Time at which it was sent.
    pub sent: u64,
    /// Time of the outcome.
    pub ended: u64,
    /// Outcome.
    pub outcome: Outcome,
}

/// A version of the routes.
#[derive(Debug, Clone)]
pub struct RouteVersion {
    /// Unix time at which the store got it, in milliseconds.
    pub sent: u64,
    /// Service of each kind of request that has a route.
    pub services: Map<&'static str, &'static str>,
}

/// What has been seen so far.
#[derive(Default)]
pub(super) struct RecordState {
    pub(super) versions: Vec<RouteVersion>,
    pub(super) runs: Vec<Run>,
    pub(super) requests: Vec<SentRequest>,
    pub(super) events: Vec<(u64, String)>,
    pub(super) copies: Vec<AnswerCopy>,
    /// What servers got, while evacuations are played.
    pub(super) arrivals: Vec<Arrival>,
    pub(super) evacuations: Vec<SoakEvacuation>,
    /// Start and end of each fault of the store.
    pub(super) store_troubles: Vec<(u64, u64)>,
    /// Server's connections so far.
    pub(super) connections: u64,
    /// Kinds of faults played so far, with their number.
    pub(super) counts: std::collections::BTreeMap<&'static str, u64>,
    /// Requests that reached a server changed.
    pub(super) unasked: Set<Name>,
    /// Requests that reached a server while it was cold.
    pub(super) cold_arrivals: Vec<ColdArrival>,
}

/// A request that reached a server while it was cold, and was not misdirected.
#[derive(Debug, Clone)]
pub struct ColdArrival {
    /// Identifier of the server.
    pub server: Name,
    /// Identifier of the request.
    pub request: Name,
    /// Time, in Unix milliseconds.
    pub at: u64,
}

/// What clients, servers and the schedule have seen; clones share it.
#[derive(Clone, Default)]
pub(super) struct Record(Arc<Mutex<RecordState>>);

impl Record {
    pub(super) fn lock(&self) -> MutexGuard<'_, RecordState> {
        self.0.lock().expect("no panic under lock")
    }

    /// Records the start of a run and returns its number.
    pub(super) fn start_run(&self, run: Run) -> usize {
        let mut state = self.lock();
        state.runs.push(run);
        state.runs.len() - 1
    }

    pub(super) fn end_run(&self, number: usize, answer: &'static str) {
        let run = &mut self.lock().runs[number];
        (run.end, run.answer) = (Some(now_ms()), answer);
    }

    pub(super) fn next_connection(&self) -> u64 {
        let mut state = self.lock();
        state.connections += 1;
        state.connections
    }

    /// Records a fault that the schedule plays.
    pub(super) fn add_event(&self, text: String) {
        self.lock().events.push((now_ms(), text));
    }

    pub(super) fn count(&self, what: &'static str) {
        *self.lock().counts.entry(what).or_default() += 1;
    }
}
