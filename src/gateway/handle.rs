use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::timeout_at;
use tokio_util::task::TaskTracker;

use super::account_limits::exchange_credit;
use super::ahead::create_look_ahead;
use super::drain::DrainSchedule;
use super::gateway::{Gateway, MirrorKind};
use super::mirror::keep_mirror;
use super::mirror_server::serve_peer;
use super::ops::{serve_ops, serve_ready};
use super::peers::{receive_datagrams, send_heartbeats};
use super::probe::{keep_probing, send_load_updates};
use super::register::keep_registered;
use super::serve::serve_caller;
use super::tick::run_periodic_work;
use crate::error::DaemonError;
use crate::http::{ListenerLimits, ShutdownTokens, bind_listener, serve_listener};
use crate::platform::StoreClient;
use crate::settings::GatewaySettings;

/// Limits of the listeners for the platform, operators and other entries.
const INTERNAL_LIMITS: ListenerLimits = ListenerLimits {
    header_bytes: 16 * 1024,
    header_timeout: Duration::from_secs(30),
    idle_timeout: Duration::from_secs(30),
    max_connections: 256,
};
/// Interval at which a stopping gateway checks for requests in flight.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// A handle to a running gateway, by which it is reloaded and stopped.
#[derive(Debug)]
pub struct GatewayHandle {
    gateway: Arc<Gateway>,
    /// Stops the listener for callers and closes its connections after their requests in flight.
    caller_shutdown: ShutdownTokens,
    /// Stops the listener for the readiness check and closes its connections after their requests in
    /// flight.
    ready_shutdown: ShutdownTokens,
    /// Open connections of callers.
    caller_connections: TaskTracker,
    /// Listeners and background tasks, which are waited for when the gateway stops.
    join_handles: Vec<JoinHandle<()>>,
}

/// Starts a gateway: opens its listeners and starts its tasks.
///
/// # Errors
///
/// Returns [`DaemonError::Listen`] if a listener cannot be opened.
pub async fn start_gateway(
    settings: GatewaySettings,
    store: StoreClient,
) -> Result<GatewayHandle, DaemonError> {
    let addresses = settings.listen.clone();
    let (caller_connections, tasks) = (TaskTracker::new(), TaskTracker::new());
    let caller_listener = bind_listener("listen.callers", addresses.callers)?;
    let ready_listener = bind_listener("listen.ready", addresses.ready)?;
    let peer_listener = bind_listener("listen.peer", addresses.peer)?;
    let ops_listener = bind_listener("listen.ops", addresses.ops)?;
    let socket = bind_socket(addresses.peer).await?;
    let gateway = Arc::new(Gateway::new(settings, store, socket.clone(), tasks.clone()));
    let (caller_shutdown, ready_shutdown) = (ShutdownTokens::default(), ShutdownTokens::default());
    let stop_internal = ShutdownTokens {
        stop_accepting: gateway.stop.clone(),
        close_connections: gateway.stop.clone(),
    };
    let shared = gateway.clone();
    let caller_limits = move || get_caller_limits(&shared);
    let [caller_gateway, ready_gateway, peer_gateway, ops_gateway] =
        [(); 4].map(|()| gateway.clone());
    let serve_caller = move |_: SocketAddr, request| serve_caller(caller_gateway.clone(), request);
    let serve_ready = move |_: SocketAddr, request| serve_ready(ready_gateway.clone(), request);
    let serve_peer =
        move |remote: SocketAddr, request| serve_peer(peer_gateway.clone(), remote, request);
    let serve_ops = move |_: SocketAddr, request| serve_ops(ops_gateway.clone(), request);
    let look_ahead = Arc::new(create_look_ahead(&gateway));
    let internal_limits = || INTERNAL_LIMITS;
    let mut join_handles = vec![
        // On the tracker of its connections, so that a stop waits for those that it accepts last.
        caller_connections.spawn(serve_listener(
            caller_listener,
            caller_limits,
            caller_shutdown.clone(),
            caller_connections.clone(),
            Some(look_ahead),
            serve_caller,
        )),
        tokio::spawn(serve_listener(
            ready_listener,
            internal_limits,
            ready_shutdown.clone(),
            tasks.clone(),
            None,
            serve_ready,
        )),
        tokio::spawn(serve_listener(
            peer_listener,
            internal_limits,
            stop_internal.clone(),
            tasks.clone(),
            None,
            serve_peer,
        )),
        tokio::spawn(serve_listener(
            ops_listener,
            internal_limits,
            stop_internal,
            tasks,
            None,
            serve_ops,
        )),
        tokio::spawn(send_heartbeats(gateway.clone(), socket.clone())),
        tokio::spawn(receive_datagrams(gateway.clone(), socket.clone())),
        tokio::spawn(keep_registered(gateway.clone())),
        tokio::spawn(keep_probing(gateway.clone())),
        tokio::spawn(send_load_updates(gateway.clone(), socket)),
        tokio::spawn(run_periodic_work(gateway.clone())),
        tokio::spawn(exchange_credit(gateway.clone())),
    ];
    let mirrors = MirrorKind::ALL.map(|kind| tokio::spawn(keep_mirror(gateway.clone(), kind)));
    join_handles.extend(mirrors);
    log::info!(callers:% = addresses.callers; "started");
    Ok(GatewayHandle {
        gateway,
        caller_shutdown,
        ready_shutdown,
        caller_connections,
        join_handles,
    })
}

/// Opens the socket for datagrams between entries.
async fn bind_socket(address: SocketAddr) -> Result<Arc<UdpSocket>, DaemonError> {
    let socket = UdpSocket::bind(address).await;
    socket
        .map(Arc::new)
        .map_err(|error| DaemonError::Listen("listen.peer", address, error))
}

/// Returns the limits of the listener for callers, by the routes in force and the settings.
fn get_caller_limits(gateway: &Gateway) -> ListenerLimits {
    let limits = gateway.get_active_routes().table.limits;
    ListenerLimits {
        header_bytes: limits.header_bytes,
        header_timeout: limits.header_timeout.into(),
        idle_timeout: limits.idle_timeout.into(),
        max_connections: gateway.settings.load().listen.max_connections,
    }
}

impl GatewayHandle {
    /// Replaces the settings. Most take effect at their next use; existing pools take over theirs when
    /// the number of known entries changes.
    ///
    /// These stay as they were at the start: the addresses of listeners and socket, the source address
    /// of connections, the name and data centre of this entry in the member table, the intervals of
    /// heartbeats and load updates, the silence and connect timeouts, the memory for bodies, and the rate of the link.
    ///
    /// The name, the data centre and the peer address are nevertheless read from the changed settings,
    /// for heartbeats, the registration and the choice of owners. They must therefore not change.
    pub fn reload(&self, settings: GatewaySettings) {
        if **self.gateway.settings.load() == settings {
            return;
        }
        self.gateway.settings.store(Arc::new(settings));
        log::info!("settings reloaded");
    }

    /// Stops gracefully: reports that the gateway is not ready, serves for the notice period, in which
    /// new connections may still arrive, drains the requests in flight, and waits for a limited time
    /// for the listeners and background tasks to end. Tasks that these have started, such as probes,
    /// are not waited for.
    ///
    /// Requests that cannot be expected to end in time are rejected, as are those that still have no
    /// server some time before the end of the drain, so that their callers get an answer and can send
    /// them elsewhere. Those that servers are still running at its end get status 504.
    ///
    /// Returns whether all callers' requests finished and all their connections closed within the grace
    /// period, less the time reserved for the exit of the process.
    pub async fn stop(self) -> bool {
        let times = self.gateway.settings.load().shutdown.clone();
        let schedule = DrainSchedule::new(times.grace_period.into(), times.lame_duck.into());
        log::info!("leaving");
        self.gateway.drain.set(schedule).ok();
        self.gateway.leave();
        tokio::time::sleep_until(schedule.listener_end).await;
        self.caller_shutdown.stop_accepting.cancel();
        self.caller_shutdown.close_connections.cancel();
        self.caller_connections.close();
        let drained = async {
            self.caller_connections.wait().await;
            while self.gateway.in_flight.load(Ordering::Relaxed) > 0 {
                tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        tokio::pin!(drained);
        let mut complete = timeout_at(schedule.attempts_end, drained.as_mut())
            .await
            .is_ok();
        if !complete {
            log::info!(in_flight = self.gateway.in_flight.load(Ordering::Relaxed); "rejecting requests without a server");
            self.gateway.attempts_end.cancel();
            complete = timeout_at(schedule.window.requests_end, drained.as_mut())
                .await
                .is_ok();
        }
        if !complete {
            log::info!(in_flight = self.gateway.in_flight.load(Ordering::Relaxed); "ending requests that servers are running");
            self.gateway.requests_end.cancel();
            timeout_at(schedule.answers_end, drained).await.ok();
        }
        self.ready_shutdown.stop_accepting.cancel();
        self.ready_shutdown.close_connections.cancel();
        self.gateway.stop.cancel();
        for http_client in [&self.gateway.server_client, &self.gateway.peer_client] {
            http_client.close_idle();
        }
        let joined = async {
            for task in self.join_handles {
                if let Err(error) = task.await {
                    log::warn!("task failed: {error}");
                }
            }
        };
        let joined = timeout_at(schedule.tasks_end, joined).await;
        log::info!(complete, joined = joined.is_ok(); "stopped");
        complete
    }
}
