use std::net::IpAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use lentilcart_platform::{encode_registration, encode_routes};
use lentilcart_state::{RouteTable, ServerRegistration, StoreCall, StoreReply};
use lentilcart_util::{Name, Set};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout_at};

use super::store_state::StoreState;

/// Time after which a call whose reply is lost ends.
const LOST_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two looks for leases that have expired.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);

/// What the store does wrong.
#[derive(Debug, Clone, Default)]
pub(super) struct StoreFaults {
    pub(super) loses_watches: bool,
    pub(super) loses_writes: bool,
    /// Addresses whose calls are answered 503.
    pub(super) refused: Set<IpAddr>,
    pub(super) is_down: bool,
    pub(super) delay: Duration,
}

/// Result of a call.
pub(super) enum CallResult {
    Reply(StoreReply),
    /// Nothing was done.
    Unavailable,
    /// The call was executed, and its connection carries no reply.
    Lost,
}

/// A stand-in of the platform's store; clones share it.
#[derive(Clone)]
pub(crate) struct Store {
    state: Arc<Mutex<StoreState>>,
    faults: Arc<Mutex<StoreFaults>>,
    /// Raised by each change, of the contents or the faults.
    changes: watch::Sender<u64>,
}

impl Store {
    pub(crate) fn new() -> Self {
        Self {
            state: Arc::default(),
            faults: Arc::default(),
            changes: watch::Sender::new(0),
        }
    }

    fn lock(&self) -> MutexGuard<'_, StoreState> {
        self.state.lock().expect("no panic under lock")
    }

    fn notify_watches(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    pub(super) fn change_faults(&self, change: impl FnOnce(&mut StoreFaults)) {
        change(&mut self.faults.lock().expect("no panic under lock"));
        self.notify_watches();
    }

    fn faults(&self) -> StoreFaults {
        self.faults.lock().expect("no panic under lock").clone()
    }

    pub(crate) fn put_routes(&self, routes: &RouteTable) {
        let key = lentilcart_platform::ROUTES_KEY.into();
        self.lock().put(key, encode_routes(routes), 0);
        self.notify_watches();
    }

    pub(crate) fn put_registration(&self, registration: &ServerRegistration) {
        let (key, value) = encode_registration(registration);
        self.lock().put(key, value, 0);
        self.notify_watches();
    }

    pub(super) fn remove_registration(&self, registration: &ServerRegistration) {
        let (key, _) = encode_registration(registration);
        self.lock().remove(&key);
        self.notify_watches();
    }

    /// Writes the key that evacuates a data centre.
    pub(super) fn evacuate(&self, data_center: &str) {
        let value = lentilcart_platform::EVACUATION_VALUE.to_vec();
        self.lock().put(get_evacuation_key(data_center), value, 0);
        self.notify_watches();
    }

    /// Removes the key that evacuates a data centre.
    pub(super) fn end_evacuation(&self, data_center: &str) {
        self.lock().remove(&get_evacuation_key(data_center));
        self.notify_watches();
    }

    /// Removes what expired leases hold; never returns.
    pub(super) async fn expire_leases(self) {
        loop {
            sleep(EXPIRY_INTERVAL).await;
            if self.lock().expire(Instant::now()) {
                self.notify_watches();
            }
        }
    }

    /// Answers a call; a watch waits until there are changes, or for its longest wait.
    pub(super) async fn answer(&self, caller: IpAddr, call: StoreCall) -> CallResult {
        let mut changes = self.changes.subscribe();
        let delay = self.faults().delay;
        if !delay.is_zero() {
            sleep(delay).await;
        }
        let max_wait = match &call {
            StoreCall::Watch { max_wait, .. } => Duration::from(*max_wait),
            _ => Duration::ZERO,
        };
        let wait_end = Instant::now() + max_wait;
        loop {
            changes.mark_unchanged();
            let faults = self.faults();
            if faults.is_down || faults.refused.contains(&caller) {
                return CallResult::Unavailable;
            }
            let is_watch = matches!(call, StoreCall::Watch { .. });
            if is_watch && faults.loses_watches {
                sleep(LOST_TIMEOUT).await;
                return CallResult::Lost;
            }
            let reply = self.lock().build_reply(&call);
            if let Some(reply) = reply {
                if matches!(call, StoreCall::Write { .. } | StoreCall::EndLease(_)) {
                    self.notify_watches();
                    if faults.loses_writes {
                        sleep(LOST_TIMEOUT).await;
                        return CallResult::Lost;
                    }
                }
                return CallResult::Reply(reply);
            }
            if timeout_at(wait_end, changes.changed()).await.is_err() {
                return CallResult::Reply(self.lock().build_empty_events());
            }
        }
    }
}

fn get_evacuation_key(data_center: &str) -> Name {
    format!("{}{data_center}", lentilcart_platform::EVACUATIONS_PREFIX).into()
}
