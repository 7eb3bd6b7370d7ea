use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use lentilcart::entry::{EntryHandle, start_entry};
use lentilcart::platform::{create_platform_client, run_protocol};
use lentilcart::route::get_policy_names;
use lentilcart::state::{SubmissionReceipt, TicketSubmission, parse_ticket};
use lentilcart::{EntrySettings, ops};
use lentilcart_util::Micros;
use tokio::task::JoinSet;
use tokio_util::task::TaskTracker;

use crate::cluster::{Layout, TRAVIESAS, format_ticket};
use crate::load::{
    CallerSettings, LoadProfile, RequestObservation, RequestOutcome, Workload, draw_plan, run_load,
};
use crate::platform::PlatformStub;
use crate::scenario::get_variant;
use crate::servers::ServerStub;

/// Servers of each service.
const SERVERS_PER_SERVICE: usize = 3;
/// Duration of each load.
const LOAD_DURATION: Micros = Micros::from_millis(3000);
/// Attempts to submit a ticket before the demonstration fails.
const SUBMIT_ATTEMPTS: u32 = 5;

/// Runs platform, servers and entries in one process, generates load through them, changes the ticket,
/// generates the same load again, and returns the text to print.
///
/// # Errors
///
/// Returns the step that failed, with its cause.
pub async fn run_demo() -> Result<String, String> {
    let mut layout = Layout::new(TRAVIESAS);
    layout.has_latency = false;
    for service in &mut layout.firm.services {
        service.servers = SERVERS_PER_SERVICE;
    }
    let mut tasks = JoinSet::new();
    let platform_stub = PlatformStub::default();
    platform_stub.set_hosts(layout.get_hosts());
    tasks.spawn(platform_stub.clone().serve(layout.get_platform_address()));
    for service in 0..layout.firm.services.len() {
        for address in layout.get_server_addresses(service) {
            tasks.spawn(ServerStub::new(address, 3, Micros::ZERO).serve());
        }
    }
    ops::install_metrics();
    let mut entries = Vec::new();
    for number in 0..layout.entries {
        entries.push(start_demo_entry(&layout, number).await?);
    }
    let first = submit(&layout, 0, "near1-over2").await?;
    let mut text = format!("ticket {} accepted ({})\n", first.number, first.id);
    text += &wait_in_force(&layout, &first).await?;
    text += &run_demo_load(&layout, "first").await?;
    let second = submit(&layout, first.number, "late").await?;
    writeln!(
        text,
        "ticket {} accepted: every entry dispatches now, not only one owner per service",
        second.number
    )
    .ok();
    text += &wait_in_force(&layout, &second).await?;
    text += &run_demo_load(&layout, "second").await?;
    for entry in entries {
        if !entry.stop().await {
            return Err("an entry stopped with requests in flight".to_owned());
        }
    }
    tasks.shutdown().await;
    Ok(text)
}

/// Starts an entry in this process.
async fn start_demo_entry(layout: &Layout, number: usize) -> Result<EntryHandle, String> {
    let peer = layout.get_peer_address(number).to_string();
    let flags = [
        ("--name", layout.get_name(number)),
        (
            "--data-center",
            layout.firm.data_centers[layout.get_data_center(number)].to_owned(),
        ),
        ("--platform", layout.get_platform_address().to_string()),
        ("--callers", layout.get_caller_address(number).to_string()),
        // The demonstration has no relays; entries listen on the addresses of the relays themselves.
        ("--peer", peer),
        ("--ops", layout.get_ops_address(number).to_string()),
        ("--lame-duck", "50ms".to_owned()),
    ];
    let args = flags
        .into_iter()
        .flat_map(|(flag, value)| [flag.into(), value.into()])
        .collect();
    let settings = EntrySettings::read(args, |_| None).map_err(|e| e.to_string())?;
    let tasks = TaskTracker::new();
    let wait = settings.platform_timeout;
    let platform = create_platform_client(settings.platform, settings.source_ip, wait, tasks);
    start_entry(settings, platform)
        .await
        .map_err(|e| e.to_string())
}

/// Submits a ticket of a variant.
async fn submit(layout: &Layout, base: u64, variant: &str) -> Result<SubmissionReceipt, String> {
    let variant = get_variant(variant).ok_or("unknown variant")?;
    let text = format_ticket(layout, &variant, base, Micros::from_millis(2000));
    let ticket = parse_ticket(&text, &get_policy_names()).map_err(|e| e.to_string())?;
    let source = IpAddr::from([127, 0, 0, 1]);
    let wait = Duration::from_secs(1);
    let platform = create_platform_client(
        layout.get_platform_address(),
        source,
        wait,
        TaskTracker::new(),
    );
    let id = format!("demo-{base}").into();
    let mut submission = TicketSubmission::new(id, Arc::new(ticket), SUBMIT_ATTEMPTS);
    run_protocol(&platform, |reply| submission.step(reply))
        .await
        .map_err(|e| e.to_string())
}

/// Waits until a ticket is in force at every entry, and returns the line to print.
async fn wait_in_force(layout: &Layout, accepted: &SubmissionReceipt) -> Result<String, String> {
    let started = Instant::now();
    let http_client = lentilcart::HttpClient::new(IpAddr::from([127, 0, 0, 1]), TaskTracker::new());
    for number in 0..layout.entries {
        let address: SocketAddr = layout.get_ops_address(number);
        while read_ticket_number(&http_client, address).await? < accepted.number {
            if started.elapsed() > Duration::from_secs(10) {
                return Err(format!(
                    "ticket {} is not in force at {address}",
                    accepted.number
                ));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
    let (number, entries) = (accepted.number, layout.entries);
    Ok(format!(
        "ticket {number} in force at {entries} of {entries} entries after {elapsed_ms:.0} ms\n"
    ))
}

/// Returns the number of the ticket in force at an entry.
async fn read_ticket_number(
    http_client: &lentilcart::HttpClient,
    address: SocketAddr,
) -> Result<u64, String> {
    let request = hyper::Request::get("/status").body(lentilcart::full_body(""));
    let reply = http_client
        .send(address, request.map_err(|e| e.to_string())?)
        .await;
    let response = reply.map_err(|e| e.to_string())?.into_streamed(|_| ());
    let body = http_body_util::BodyExt::collect(response.into_body()).await;
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    let view: ops::StatusView = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
    Ok(view.number)
}

/// Generates load and returns a table of its latencies by service, or an error if a service answered no
/// request or gave a wrong response.
async fn run_demo_load(layout: &Layout, name: &str) -> Result<String, String> {
    let workload = Workload {
        profile: LoadProfile::Flat(0.6),
        entries: layout.entries,
        duration: LOAD_DURATION,
        straggler_share: 0.01,
        independent_reruns: false,
        first_entry_share: None,
        seed: 1,
    };
    let planned_requests = draw_plan(&layout.firm, &workload);
    let caller_settings = CallerSettings {
        addresses: (0..layout.entries)
            .map(|n| layout.get_caller_address(n))
            .collect(),
        readiness_addresses: Vec::new(),
        services: layout.firm.services.iter().map(|s| s.name).collect(),
        run_name: name.to_owned(),
        keyed: true,
    };
    let observations = run_load(caller_settings, &planned_requests, Instant::now()).await;
    let mut text = format!(
        "{:<14} {:>6} {:>9} {:>9} {:>9}\n",
        "service", "sent", "answered", "p50 ms", "p99 ms"
    );
    for (index, service) in layout.firm.services.iter().enumerate() {
        let matching = planned_requests
            .iter()
            .zip(&observations)
            .filter(|(planned, _)| planned.service == index);
        let observed: Vec<&RequestObservation> =
            matching.map(|(_, observation)| observation).collect();
        let answered: Vec<&&RequestObservation> = observed
            .iter()
            .filter(|observation| observation.outcome == RequestOutcome::Answered)
            .collect();
        let mut latencies: Vec<f64> = answered.iter().map(|s| s.latency.as_millis()).collect();
        latencies.sort_by(f64::total_cmp);
        let get_quantile = |share: f64| latencies.get((latencies.len() as f64 * share) as usize);
        writeln!(
            text,
            "{:<14} {:>6} {:>9} {:>9.1} {:>9.1}",
            service.name,
            observed.len(),
            answered.len(),
            get_quantile(0.5).unwrap_or(&0.0),
            get_quantile(0.99).unwrap_or(&0.0)
        )
        .ok();
        if answered.is_empty()
            || observed
                .iter()
                .any(|observation| observation.outcome == RequestOutcome::Wrong)
        {
            return Err(format!(
                "{text}\n{}: no request was answered, or a response was wrong",
                service.name
            ));
        }
    }
    Ok(text)
}
