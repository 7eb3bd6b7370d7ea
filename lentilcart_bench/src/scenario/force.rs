use std::sync::Arc;
use std::time::{Duration, Instant};

use lentilcart::platform::{create_platform_client, run_protocol};
use lentilcart::route::get_policy_names;
use lentilcart::state::{TicketSubmission, parse_ticket};
use lentilcart_util::Micros;
use serde::Serialize;
use tokio_util::task::TaskTracker;

use super::experiment::quantile;
use crate::cluster::{Cluster, Firm, Layout, Variant, ticket};

const ATTEMPTS: u32 = 5;
const DEADLINE: Micros = Micros::from_millis(1000);
const POLL: Duration = Duration::from_millis(2);
const PLATFORM_WAIT: Duration = Duration::from_secs(10);

/// Time from the start of a submission until a ticket is in force at every entry.
#[derive(Debug, Clone, Serialize)]
pub struct Force {
    /// Scenario.
    pub scenario: &'static str,
    /// Time that the platform takes for each call beyond its own, in milliseconds.
    pub platform_delay_ms: u64,
    /// Tickets submitted one after another.
    pub tickets: u64,
    /// Median from submission to acceptance.
    pub accepted_p50_ms: f64,
    /// Median from acceptance, as its submitter learns of it, to force at every entry.
    pub p50_ms: f64,
    /// Longest of the same.
    pub worst_ms: f64,
}

/// Submits tickets one after another and measures the time until each is in force everywhere.
///
/// # Errors
///
/// Fails where a ticket is not accepted.
pub async fn force(
    firm: Firm,
    variant: &Variant,
    tickets: u64,
    platform_delay_ms: u64,
) -> Result<Force, String> {
    let cluster = Cluster::start(Layout::new(firm)).await;
    cluster
        .stub
        .change_faults(|faults| faults.delay_ms = platform_delay_ms);
    let address = cluster.layout.get_platform();
    let source = std::net::IpAddr::from([127, 0, 0, 1]);
    let platform = create_platform_client(address, source, PLATFORM_WAIT, TaskTracker::new());
    let mut accepted = Vec::new();
    let mut in_force = Vec::new();
    for base in 0..tickets {
        let text = ticket(&cluster.layout, variant, base, DEADLINE);
        let ticket = parse_ticket(&text, &get_policy_names()).map_err(|e| e.to_string())?;
        let started = Instant::now();
        let mut submit =
            TicketSubmission::new(format!("force-{base}").into(), Arc::new(ticket), ATTEMPTS);
        let done = run_protocol(&platform, |reply| submit.step(reply)).await;
        let number = done.map_err(|e| e.to_string())?.number;
        accepted.push(Micros::from(started.elapsed()));
        let started = Instant::now();
        for entry in 0..cluster.layout.entries {
            while cluster
                .get_status(entry)
                .await
                .is_none_or(|s| s.number < number)
            {
                tokio::time::sleep(POLL).await;
            }
        }
        in_force.push(Micros::from(started.elapsed()));
    }
    cluster.stop().await;
    accepted.sort_unstable();
    in_force.sort_unstable();
    Ok(Force {
        scenario: "force",
        platform_delay_ms,
        tickets,
        accepted_p50_ms: quantile(&accepted, 0.5),
        p50_ms: quantile(&in_force, 0.5),
        worst_ms: quantile(&in_force, 1.0),
    })
}
