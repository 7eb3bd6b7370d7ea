use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};

use lentilcart_route::{
    AttemptOutcome, Decision, LoadReport, PendingRequest, Rejection, ServerPool,
};
use lentilcart_util::{Map, Micros, Name, Set};
use tokio::sync::oneshot;

use super::permit::Permit;
use crate::util::Clock;

/// Index of the selected server, or why the request is rejected.
type SelectionResult = Result<usize, Rejection>;

/// Pool of servers of a service, and the tasks that wait for its decisions.
#[derive(Debug)]
pub(crate) struct Dispatcher {
    pub(crate) service: Name,
    clock: Clock,
    state: Mutex<PoolState>,
}

/// What the lock of a dispatcher protects.
#[derive(Debug)]
struct PoolState {
    pool: ServerPool,
    /// Queued requests by their id in the pool.
    waiting: Map<u64, oneshot::Sender<SelectionResult>>,
}

/// A queued request; dropping it takes the request off the queue or, if the pool has started an
/// attempt for it that no task took, records that attempt as cancelled.
struct WaitingRequest {
    dispatcher: Arc<Dispatcher>,
    /// Id of the request in the pool, new for every permit; not the id in the request's header.
    request_id: u64,
    result: oneshot::Receiver<SelectionResult>,
}

impl Dispatcher {
    /// Creates the dispatcher of a service.
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

    /// Waits until the pool has a permit for a request.
    ///
    /// # Errors
    ///
    /// Returns why the pool rejects the request.
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
            state.deliver_decisions(self.clock.now(), decisions);
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

    /// Returns a permit for a hedge of a request without waiting; `None` if the hedge budget is
    /// spent, requests are queued, or no other server has a slot free now.
    pub(crate) fn hedge(self: &Arc<Self>, request: &PendingRequest) -> Option<Permit> {
        let server = self.lock().pool.start_hedge(self.clock.now(), request)?;
        Some(Permit::from_dispatcher(self.clone(), request.id, server))
    }

    /// Lets the pool reject requests that have waited too long, end ejections and slow starts, and
    /// dispatch queued requests.
    pub(crate) fn tick(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        let decisions = state.pool.tick(now);
        state.deliver_decisions(now, decisions);
    }

    /// Runs a function that may change the pool, then dispatches queued requests to servers that
    /// have become free. The function gets the pool and the current time.
    pub(crate) fn update_pool<T>(&self, run: impl FnOnce(&mut ServerPool, Micros) -> T) -> T {
        let mut state = self.lock();
        let now = self.clock.now();
        let result = run(&mut state.pool, now);
        let decisions = state.pool.dispatch(now);
        state.deliver_decisions(now, decisions);
        result
    }

    /// Records a load report of a server; one of an unknown address is ignored.
    pub(crate) fn record_load(&self, address: SocketAddr, load: LoadReport) {
        self.update_pool(|pool, now| {
            if let Some(server) = pool.get_server_index(address) {
                pool.record_load_report(now, server, load);
            }
        });
    }

    /// Returns whether a server's last load report is at least `max_age` old, or there is none, or whether it
    /// is not known for as long whether the server is cold.
    pub(crate) fn is_load_stale(&self, address: SocketAddr, max_age: Micros) -> bool {
        let now = self.clock.now();
        self.read_pool(|pool| {
            let index = pool.get_server_index(address);
            let server = index.and_then(|i| pool.get_server_state(i));
            let is_report_stale = server
                .and_then(|server| server.get_report_age(now))
                .is_none_or(|age| age >= max_age);
            is_report_stale || index.is_some_and(|i| pool.is_warmth_stale(now, i, max_age))
        })
    }

    /// Returns whether a server wants no requests from the entry with the address `sender` now.
    pub(crate) fn is_held_off(&self, address: SocketAddr, sender: SocketAddr) -> bool {
        let now = self.clock.now();
        self.read_pool(|pool| {
            let held_off = pool.get_held_off_servers(now, Some(sender));
            held_off.contains(&address)
        })
    }

    /// Sets the evacuated data centres, whose servers get no new requests, and rejects the queued requests
    /// that the other servers cannot start in time.
    pub(crate) fn set_evacuated(&self, data_centers: &Set<Name>) {
        let mut state = self.lock();
        let now = self.clock.now();
        let decisions = state.pool.set_evacuated(now, data_centers);
        state.deliver_decisions(now, decisions);
    }

    /// Returns whether a server is in an evacuated data centre.
    pub(crate) fn is_evacuated(&self, address: SocketAddr) -> bool {
        self.read_pool(|pool| pool.is_evacuated(address))
    }

    /// Returns the current time on the clock of the pool.
    pub(crate) fn get_now(&self) -> Micros {
        self.clock.now()
    }

    /// Returns whether requests are queued.
    pub(crate) fn has_waiting(&self) -> bool {
        self.read_pool(|pool| pool.get_queue_len() > 0)
    }

    /// Records that a load probe of a server failed or was not answered in time.
    pub(crate) fn record_failed_probe(&self, address: SocketAddr) {
        self.update_pool(|pool, now| {
            if let Some(server) = pool.get_server_index(address) {
                pool.record_probe_failure(now, server);
            }
        });
    }

    /// Runs a function that only reads the pool.
    pub(crate) fn read_pool<T>(&self, run: impl FnOnce(&ServerPool) -> T) -> T {
        run(&self.lock().pool)
    }

    /// Records the outcome of an attempt, which frees its slot.
    pub(crate) fn record_outcome(&self, request_id: u64, server: usize, outcome: AttemptOutcome) {
        let mut state = self.lock();
        let now = self.clock.now();
        let decisions = state.pool.finish_attempt(now, request_id, server, outcome);
        state.deliver_decisions(now, decisions);
    }

    fn lock(&self) -> MutexGuard<'_, PoolState> {
        self.state.lock().expect("no panic under lock")
    }
}

impl PoolState {
    /// Sends decisions to the tasks that wait for them. An attempt that no task waits for is ended
    /// as cancelled, which may lead to further decisions.
    fn deliver_decisions(&mut self, now: Micros, mut decisions: Vec<Decision>) {
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
            state.deliver_decisions(now, decisions);
        }
    }
}
