use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use lentilcart_route::{
    AttemptOutcome, Decision, LoadReport, PendingRequest, Rejection, ServerPool,
};
use lentilcart_util::{Map, Micros, Name};
use tokio::sync::oneshot;

use super::permit::Permit;
use crate::util::Clock;

type SelectionResult = Result<usize, Rejection>;

/// A service's pool, and the tasks that wait for its decisions.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    pub(crate) service: Name,
    clock: Clock,
    state: Mutex<PoolState>,
}

#[derive(Debug)]
struct PoolState {
    pool: ServerPool,
    waiting: Map<u64, oneshot::Sender<SelectionResult>>,
}

struct WaitingRequest {
    dispatcher: Arc<Dispatcher>,
    request_id: u64,
    result: oneshot::Receiver<SelectionResult>,
}

impl Dispatcher {
    pub(crate) fn new(service: Name, pool: ServerPool, clock: Clock) -> Self {
        let state = Mutex::new(PoolState {
            pool,
            waiting: Map::default(),
        });
        Self {
            service,
            clock,
            state,
        }
    }

    /// Waits until the pool gives a request a server, or refuses it.
    pub(crate) async fn acquire(
        self: &Arc<Self>,
        request: PendingRequest,
    ) -> Result<Permit, Rejection> {
        let id = request.id;
        let mut waiting = {
            let (sender, result) = oneshot::channel();
            let mut state = self.lock();
            state.waiting.insert(id, sender);
            let decisions = state.pool.offer(self.clock.now(), request);
            state.carry_out(self.clock.now(), decisions);
            WaitingRequest {
                dispatcher: self.clone(),
                request_id: id,
                result,
            }
        };
        let result = (&mut waiting.result)
            .await
            .unwrap_or(Err(Rejection::NoServer));
        std::mem::drop(waiting);
        Ok(Permit::from_dispatcher(self.clone(), id, result?))
    }

    /// Asks for a server for a hedge of a request; returns `None` where the budget or the load
    /// forbids it.
    pub(crate) fn hedge(self: &Arc<Self>, request: &PendingRequest) -> Option<Permit> {
        let server = self.lock().pool.start_hedge(self.clock.now(), request)?;
        Some(Permit::from_dispatcher(self.clone(), request.id, server))
    }

    pub(crate) fn tick(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        let decisions = state.pool.tick(now);
        state.carry_out(now, decisions);
    }

    /// Runs a function on the pool and carries out what follows from it.
    pub(crate) fn with_pool<T>(&self, run: impl FnOnce(&mut ServerPool, Micros) -> T) -> T {
        let mut state = self.lock();
        let now = self.clock.now();
        let result = run(&mut state.pool, now);
        let decisions = state.pool.dispatch(now);
        state.carry_out(now, decisions);
        result
    }

    /// Takes a server's report of its load.
    pub(crate) fn record_load(&self, address: SocketAddr, load: LoadReport) {
        self.with_pool(|pool, now| {
            if let Some(server) = pool.get_server_index(address) {
                pool.record_load_report(now, server, load);
            }
        });
    }

    /// Returns whether a server's last report of its load is older than a time.
    pub(crate) fn is_load_stale(&self, address: SocketAddr, max_age: Micros) -> bool {
        let now = self.clock.now();
        self.read_pool(|pool| {
            let server = pool
                .get_server_index(address)
                .and_then(|i| pool.get_server_state(i));
            server
                .and_then(|server| server.get_report_age(now))
                .is_none_or(|age| age >= max_age)
        })
    }

    pub(crate) fn get_now(&self) -> Micros {
        self.clock.now()
    }

    /// Returns whether requests wait.
    pub(crate) fn has_waiting(&self) -> bool {
        self.read_pool(|pool| pool.get_queue_len() > 0)
    }

    /// Records that a server did not answer a question about its load.
    pub(crate) fn record_unanswered_probe(&self, address: SocketAddr) {
        self.with_pool(|pool, now| {
            if let Some(server) = pool.get_server_index(address) {
                pool.record_probe_failure(now, server);
            }
        });
    }

    /// Runs a function that only looks at the pool.
    pub(crate) fn read_pool<T>(&self, run: impl FnOnce(&ServerPool) -> T) -> T {
        run(&self.lock().pool)
    }

    /// Ends an attempt.
    pub(crate) fn record_outcome(&self, request_id: u64, server: usize, outcome: AttemptOutcome) {
        let mut state = self.lock();
        let now = self.clock.now();
        let decisions = state.pool.finish_attempt(now, request_id, server, outcome);
        state.carry_out(now, decisions);
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().expect("no panic under lock")
    }
}

impl PoolState {
    /// Tells the waiting tasks what was decided; a start that nobody waits for is cancelled.
    fn carry_out(&mut self, now: Micros, mut decisions: Vec<Decision>) {
        while let Some(decision) = decisions.pop() {
            let (request_id, result) = match decision {
                Decision::Start { request_id, server } => (request_id, Ok(server)),
                Decision::Reject { request_id, reason } => (request_id, Err(reason)),
            };
            let delivered = self
                .waiting
                .remove(&request_id)
                .is_some_and(|s| s.send(result).is_ok());
            if let (false, Ok(server)) = (delivered, result) {
                decisions.extend(self.pool.finish_attempt(
                    now,
                    request_id,
                    server,
                    AttemptOutcome::Cancelled,
                ));
            }
        }
    }
}

impl Drop for WaitingRequest {
    fn drop(&mut self) {
        let mut state = self.dispatcher.lock();
        let now = self.dispatcher.clock.now();
        state.waiting.remove(&self.request_id);
        if !state.pool.cancel_queued(self.request_id)
            && let Ok(Ok(server)) = self.result.try_recv()
        {
            let decisions =
                state
                    .pool
                    .finish_attempt(now, self.request_id, server, AttemptOutcome::Cancelled);
            state.carry_out(now, decisions);
        }
    }
}
