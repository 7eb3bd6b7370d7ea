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
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    pool: ServerPool,
    waiting: Map<u64, oneshot::Sender<SelectionResult>>,
}

struct Waiting {
    desk: Arc<Dispatcher>,
    job: u64,
    decision: oneshot::Receiver<SelectionResult>,
}

impl Dispatcher {
    pub(crate) fn new(service: Name, pool: ServerPool, clock: Clock) -> Self {
        let state = Mutex::new(State {
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
        job: PendingRequest,
    ) -> Result<Permit, Rejection> {
        let id = job.id;
        let mut waiting = {
            let (sender, decision) = oneshot::channel();
            let mut state = self.lock();
            state.waiting.insert(id, sender);
            let steps = state.pool.offer(self.clock.now(), job);
            state.apply(self.clock.now(), steps);
            Waiting {
                desk: self.clone(),
                job: id,
                decision,
            }
        };
        let decision = (&mut waiting.decision)
            .await
            .unwrap_or(Err(Rejection::NoServer));
        std::mem::drop(waiting);
        Ok(Permit::from_dispatcher(self.clone(), id, decision?))
    }

    /// Asks for a server for a hedge of a request; returns `None` where the budget or the load
    /// forbids it.
    pub(crate) fn hedge(self: &Arc<Self>, job: &PendingRequest) -> Option<Permit> {
        let server = self.lock().pool.start_hedge(self.clock.now(), job)?;
        Some(Permit::from_dispatcher(self.clone(), job.id, server))
    }

    pub(crate) fn tick(&self) {
        let mut state = self.lock();
        let now = self.clock.now();
        let steps = state.pool.tick(now);
        state.apply(now, steps);
    }

    /// Runs a function on the pool and carries out what follows from it.
    pub(crate) fn with_pool<T>(&self, run: impl FnOnce(&mut ServerPool, Micros) -> T) -> T {
        let mut state = self.lock();
        let now = self.clock.now();
        let result = run(&mut state.pool, now);
        let steps = state.pool.dispatch(now);
        state.apply(now, steps);
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
    pub(crate) fn is_load_stale(&self, address: SocketAddr, age: Micros) -> bool {
        let now = self.clock.now();
        self.read_pool(|pool| {
            let row = pool
                .get_server_index(address)
                .and_then(|i| pool.get_server_state(i));
            row.and_then(|row| row.get_report_age(now))
                .is_none_or(|old| old >= age)
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
    pub(crate) fn record_outcome(&self, job: u64, server: usize, outcome: AttemptOutcome) {
        let mut state = self.lock();
        let now = self.clock.now();
        let steps = state.pool.finish_attempt(now, job, server, outcome);
        state.apply(now, steps);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no panic under lock")
    }
}

impl State {
    /// Tells the waiting tasks what was decided; a start that nobody waits for is cancelled.
    fn apply(&mut self, now: Micros, mut steps: Vec<Decision>) {
        while let Some(step) = steps.pop() {
            let (request_id, decision) = match step {
                Decision::Start { request_id, server } => (request_id, Ok(server)),
                Decision::Reject { request_id, reason } => (request_id, Err(reason)),
            };
            let told = self
                .waiting
                .remove(&request_id)
                .is_some_and(|s| s.send(decision).is_ok());
            if let (false, Ok(server)) = (told, decision) {
                steps.extend(self.pool.finish_attempt(
                    now,
                    request_id,
                    server,
                    AttemptOutcome::Cancelled,
                ));
            }
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let mut state = self.desk.lock();
        let now = self.desk.clock.now();
        state.waiting.remove(&self.job);
        if !state.pool.cancel_queued(self.job)
            && let Ok(Ok(server)) = self.decision.try_recv()
        {
            let steps = state
                .pool
                .finish_attempt(now, self.job, server, AttemptOutcome::Cancelled);
            state.apply(now, steps);
        }
    }
}
