use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{sleep_until, timeout_at};
use tokio_util::task::TaskTracker;

use super::control::{catch_up, watch_head, watch_hosts};
use super::drain::DrainSchedule;
use super::entry::Entry;
use super::serve::{serve_caller, serve_peer};
use super::tick::tick;
use crate::error::DaemonError;
use crate::http::{ListenerLimits, ShutdownTokens, bind_listener, serve_listener};
use crate::ops::serve_operator;
use crate::peer::maintain_links;
use crate::platform::PlatformClient;
use crate::settings::EntrySettings;

/// Handle of a running entry, by which it is stopped.
#[derive(Debug)]
pub struct EntryHandle {
    entry: Arc<Entry>,
    stop_callers: ShutdownTokens,
    /// Connections of callers.
    callers: TaskTracker,
    /// Listeners and loops, which end when the entry stops.
    tasks: Vec<JoinHandle<()>>,
}

/// Starts an entry: its listeners for callers, other entries and operators, and its background
/// tasks.
///
/// # Errors
///
/// Fails if a listener cannot be opened.
pub async fn start_entry(
    settings: EntrySettings,
    platform: PlatformClient,
) -> Result<EntryHandle, DaemonError> {
    let callers = TaskTracker::new();
    let background = TaskTracker::new();
    let caller_listener = bind_listener("--callers", settings.callers)?;
    let peer_listener = bind_listener("--peer", settings.peer)?;
    let ops_listener = bind_listener("--ops", settings.ops)?;
    let limits = ListenerLimits {
        header_bytes: settings.header_bytes,
        header_timeout: settings.header_timeout,
        idle_timeout: settings.header_timeout,
        max_connections: settings.max_connections,
    };
    let entry = Arc::new(Entry::new(settings, platform, background.clone()));
    let stop_callers = ShutdownTokens::default();
    let (for_callers, for_peers, for_operators) = (entry.clone(), entry.clone(), entry.clone());
    let serve_caller = move |remote, request| serve_caller(for_callers.clone(), remote, request);
    let serve_peer = move |remote, request| serve_peer(for_peers.clone(), remote, request);
    let serve_operator = move |_, request| serve_operator(for_operators.clone(), request);
    let (stop, tracker) = (stop_callers.clone(), callers.clone());
    let stop_internal = ShutdownTokens {
        stop_accepting: entry.stop.clone(),
        close_connections: entry.stop.clone(),
    };
    let tasks = vec![
        // On the tracker of its connections, so that a stop waits for those that it accepts last.
        callers.spawn(serve_listener(
            caller_listener,
            move || limits,
            stop,
            tracker,
            None,
            serve_caller,
        )),
        tokio::spawn(serve_listener(
            peer_listener,
            move || limits,
            stop_internal.clone(),
            background.clone(),
            None,
            serve_peer,
        )),
        tokio::spawn(serve_listener(
            ops_listener,
            move || limits,
            stop_internal,
            background,
            None,
            serve_operator,
        )),
        tokio::spawn(maintain_links(entry.clone())),
        tokio::spawn(watch_head(entry.clone())),
        tokio::spawn(watch_hosts(entry.clone())),
        tokio::spawn(tick(entry.clone())),
    ];
    // Fetches the tickets at once, without waiting for the first watch to return.
    let entry_for_fetch = entry.clone();
    entry
        .tasks
        .spawn(async move { catch_up(&entry_for_fetch, None).await });
    log::info!(callers:% = entry.settings.callers; "started");
    Ok(EntryHandle {
        entry,
        stop_callers,
        callers,
        tasks,
    })
}

impl EntryHandle {
    /// Stops gracefully: reports itself as leaving to the other entries and fails readiness checks,
    /// so that the platform's load balancer in front of the entries sees it as not ready; waits for
    /// the lame-duck time; closes the listener of callers; serves open connections for another half
    /// of the lame-duck time; lets requests in flight finish within the drain time; and waits for
    /// the listeners and loops, and for at most `platform_timeout` for the background tasks.
    ///
    /// Requests that cannot be expected to end in time are rejected, those that arrive after the listener has
    /// closed also if they may take longer. So are, some time before the end of the drain time, requests that
    /// still have no permit, or whose body is still being read: their callers get an answer and can send them
    /// elsewhere. Those that servers are still running at its end get status 502.
    ///
    /// Returns true if every request finished within the drain time, and false if some were
    /// cut off.
    pub async fn stop(self) -> bool {
        let schedule = DrainSchedule::new(&self.entry.settings);
        log::info!("leaving");
        self.entry.drain.set(schedule).ok();
        self.entry.leave();
        sleep_until(schedule.listener_end).await;
        self.stop_callers.stop_accepting.cancel();
        // Requests that arrive over open connections now are still answered; the answer closes
        // the connection.
        sleep_until(schedule.connections_end).await;
        self.stop_callers.close_connections.cancel();
        self.callers.close();
        let drained = async {
            self.callers.wait().await;
            while self.entry.stats.get_in_flight() > 0 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::pin!(drained);
        let mut complete = timeout_at(schedule.attempts_end, drained.as_mut())
            .await
            .is_ok();
        if !complete {
            log::info!(in_flight = self.entry.stats.get_in_flight(); "rejecting requests without a permit");
            self.entry.attempts_end.cancel();
            complete = timeout_at(schedule.window.requests_end, drained.as_mut())
                .await
                .is_ok();
        }
        if !complete {
            log::info!(in_flight = self.entry.stats.get_in_flight(); "ending requests that servers are running");
            self.entry.requests_end.cancel();
            timeout_at(schedule.answers_end, drained).await.ok();
        }
        self.entry.stop.cancel();
        self.entry.http_client.close_idle();
        for task in self.tasks {
            task.await.ok();
        }
        self.entry.tasks.close();
        tokio::time::timeout(
            self.entry.settings.platform_timeout,
            self.entry.tasks.wait(),
        )
        .await
        .ok();
        log::info!(complete; "stopped");
        complete
    }
}
