use std::sync::Arc;
use std::time::{Duration, Instant};

use lentilcart::platform::{create_platform_client, run_protocol};
use lentilcart::route::get_policy_names;
use lentilcart::state::{TicketSubmission, parse_ticket};
use lentilcart_util::Micros;
use serde::Serialize;
use tokio_util::task::TaskTracker;

use super::experiment::quantile_ms;
use crate::cluster::{Cluster, Firm, Layout, Variant, format_ticket};

/// Attempts to submit a ticket before the run fails.
const SUBMIT_ATTEMPTS: u32 = 5;
/// Deadline of every route in the tickets.
const DEADLINE: Micros = Micros::from_millis(1000);
/// Interval at which the status of an entry is read.
const POLL_INTERVAL: Duration = Duration::from_millis(2);
/// Time after which a call to the platform fails.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(10);

/// Times from the submission of a ticket until it is accepted, and from then until it is in force at
/// every entry. Times are in milliseconds. Entries are polled in turn, so the times until a ticket is
/// in force are upper bounds, too long by up to several polls.
#[derive(Debug, Clone, Serialize)]
pub struct InForceDelays {
    /// Name of the scenario.
    pub scenario: &'static str,
    /// Delay that the platform adds to each call, in milliseconds.
    pub platform_delay_ms: u64,
    /// Number of tickets, submitted one after another.
    pub tickets: u64,
    /// Median time from submission to acceptance.
    pub accepted_p50_ms: f64,
    /// Median time from acceptance, as the submitter learns of it, until the ticket is in force at
    /// every entry.
    pub p50_ms: f64,
    /// Longest time from acceptance until the ticket is in force at every entry.
    pub worst_ms: f64,
}

/// Submits tickets one after another and measures the time until each is in force everywhere.
///
/// # Errors
///
/// Returns an error if a ticket is not accepted.
pub async fn measure_in_force_delays(
    firm: Firm,
    variant: &Variant,
    tickets: u64,
    platform_delay_ms: u64,
) -> Result<InForceDelays, String> {
    let cluster = Cluster::start(Layout::new(firm)).await;
    cluster
        .platform_stub
        .update_faults(|faults| faults.delay_ms = platform_delay_ms);
    let address = cluster.layout.get_platform_address();
    let source = std::net::IpAddr::from([127, 0, 0, 1]);
    let platform = create_platform_client(address, source, PLATFORM_TIMEOUT, TaskTracker::new());
    let mut accept_times = Vec::new();
    let mut in_force_times = Vec::new();
    for base in 0..tickets {
        let text = format_ticket(&cluster.layout, variant, base, DEADLINE);
        let ticket = parse_ticket(&text, &get_policy_names()).map_err(|e| e.to_string())?;
        let started = Instant::now();
        let mut submission = TicketSubmission::new(
            format!("force-{base}").into(),
            Arc::new(ticket),
            SUBMIT_ATTEMPTS,
        );
        let accepted_ticket = run_protocol(&platform, |reply| submission.step(reply)).await;
        let number = accepted_ticket.map_err(|e| e.to_string())?.number;
        accept_times.push(Micros::from(started.elapsed()));
        let started = Instant::now();
        for entry in 0..cluster.layout.entries {
            while cluster
                .get_status(entry)
                .await
                .is_none_or(|s| s.number < number)
            {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        in_force_times.push(Micros::from(started.elapsed()));
    }
    cluster.stop().await;
    accept_times.sort_unstable();
    in_force_times.sort_unstable();
    Ok(InForceDelays {
        scenario: "force",
        platform_delay_ms,
        tickets,
        accepted_p50_ms: quantile_ms(&accept_times, 0.5),
        p50_ms: quantile_ms(&in_force_times, 0.5),
        worst_ms: quantile_ms(&in_force_times, 1.0),
    })
}
