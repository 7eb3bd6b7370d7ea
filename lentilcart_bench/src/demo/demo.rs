use std::fmt::Write;
use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::{Duration, Instant};

use lentilcart::entry::{EntryHandle, start_entry};
use lentilcart::platform::{create_platform_client, run_protocol};
use lentilcart::route::get_policy_names;
use lentilcart::state::{AcceptedTicket, TicketSubmission, parse_ticket};
use lentilcart::{EntrySettings, ops};
use lentilcart_util::Micros;
use tokio::task::JoinSet;
use tokio_util::task::TaskTracker;

use crate::cluster::{Layout, TRAVIESAS, ticket};
use crate::load::{Demand, Ending, Profile, Sight, Targets, plan, run};
use crate::platform::PlatformStub;
use crate::scenario::get_variant;
use crate::servers::ServerStub;

const SERVERS: usize = 3;
const LENGTH: Micros = Micros::from_millis(3000);
const SUBMIT_ATTEMPTS: u32 = 5;

/// Serves the whole path in one process, sends a load through it, shows a ticket change in force,
/// and returns the printed table.
///
/// # Errors
///
/// Fails with what did not work.
pub async fn demo() -> Result<String, String> {
    let mut layout = Layout::new(TRAVIESAS);
    layout.latency = false;
    for service in &mut layout.firm.services {
        service.servers = SERVERS;
    }
    let mut tasks = JoinSet::new();
    let stub = PlatformStub::default();
    stub.set_hosts(layout.get_hosts());
    tasks.spawn(stub.clone().serve(layout.get_platform()));
    for service in 0..layout.firm.services.len() {
        for address in layout.get_servers(service) {
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
    text += &wait_force(&layout, &first).await?;
    text += &load(&layout, "first").await?;
    let second = submit(&layout, first.number, "late").await?;
    writeln!(
        text,
        "ticket {} accepted: every entry dispatches now",
        second.number
    )
    .ok();
    text += &wait_force(&layout, &second).await?;
    text += &load(&layout, "second").await?;
    for entry in entries {
        if !entry.stop().await {
            return Err("an entry stopped with requests in flight".to_owned());
        }
    }
    tasks.shutdown().await;
    Ok(text)
}

async fn start_demo_entry(layout: &Layout, number: usize) -> Result<EntryHandle, String> {
    let peer = layout.get_peer(number).to_string();
    let pairs = [
        ("--name", layout.get_name(number)),
        (
            "--data-center",
            layout.firm.centers[layout.get_center(number)].to_owned(),
        ),
        ("--platform", layout.get_platform().to_string()),
        ("--callers", layout.get_entry(number).to_string()),
        ("--peer", peer),
        ("--ops", layout.get_ops(number).to_string()),
        ("--lame-duck", "50ms".to_owned()),
    ];
    let args = pairs
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

async fn submit(layout: &Layout, base: u64, variant: &str) -> Result<AcceptedTicket, String> {
    let variant = get_variant(variant).ok_or("unknown variant")?;
    let text = ticket(layout, &variant, base, Micros::from_millis(2000));
    let ticket = parse_ticket(&text, &get_policy_names()).map_err(|e| e.to_string())?;
    let source = IpAddr::from([127, 0, 0, 1]);
    let wait = Duration::from_secs(1);
    let platform = create_platform_client(layout.get_platform(), source, wait, TaskTracker::new());
    let id = format!("demo-{base}").into();
    let mut submit = TicketSubmission::new(id, Arc::new(ticket), SUBMIT_ATTEMPTS);
    run_protocol(&platform, |reply| submit.step(reply))
        .await
        .map_err(|e| e.to_string())
}

async fn wait_force(layout: &Layout, accepted: &AcceptedTicket) -> Result<String, String> {
    let started = Instant::now();
    let http_client = lentilcart::HttpClient::new(IpAddr::from([127, 0, 0, 1]), TaskTracker::new());
    for number in 0..layout.entries {
        let address: SocketAddr = layout.get_ops(number);
        while read_number(&http_client, address).await? < accepted.number {
            if started.elapsed() > Duration::from_secs(10) {
                return Err(format!(
                    "ticket {} is not in force at {address}",
                    accepted.number
                ));
            }
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    let took = started.elapsed().as_secs_f64() * 1e3;
    let (number, entries) = (accepted.number, layout.entries);
    Ok(format!(
        "ticket {number} in force at {entries} of {entries} entries after {took:.0} ms\n"
    ))
}

async fn read_number(
    http_client: &lentilcart::HttpClient,
    address: SocketAddr,
) -> Result<u64, String> {
    let request = hyper::Request::get("/status").body(lentilcart::full_body(""));
    let reply = http_client
        .send(address, request.map_err(|e| e.to_string())?)
        .await;
    let answer = reply.map_err(|e| e.to_string())?.into_streamed(|_| ());
    let body = http_body_util::BodyExt::collect(answer.into_body()).await;
    let body = body.map_err(|e| e.to_string())?.to_bytes();
    let view: ops::StatusView = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
    Ok(view.number)
}

async fn load(layout: &Layout, name: &str) -> Result<String, String> {
    let demand = Demand {
        profile: Profile::Flat(0.6),
        entries: layout.entries,
        length: LENGTH,
        straggler: 0.01,
        unlucky: false,
        skew: None,
        seed: 1,
    };
    let shots = plan(&layout.firm, &demand);
    let targets = Targets {
        entries: (0..layout.entries).map(|n| layout.get_entry(n)).collect(),
        ready: Vec::new(),
        services: layout.firm.services.iter().map(|s| s.name).collect(),
        run: name.to_owned(),
        keyed: true,
    };
    let sights = run(targets, &shots, Instant::now()).await;
    let mut text = format!(
        "{:<14} {:>6} {:>9} {:>9} {:>9}\n",
        "service", "sent", "answered", "p50 ms", "p99 ms"
    );
    for (index, service) in layout.firm.services.iter().enumerate() {
        let pairs = shots
            .iter()
            .zip(&sights)
            .filter(|(shot, _)| shot.service == index);
        let mine: Vec<&Sight> = pairs.map(|(_, sight)| sight).collect();
        let answered: Vec<&&Sight> = mine
            .iter()
            .filter(|sight| sight.ending == Ending::Answered)
            .collect();
        let mut latencies: Vec<f64> = answered.iter().map(|s| s.latency.as_millis()).collect();
        latencies.sort_by(f64::total_cmp);
        let at = |share: f64| latencies.get((latencies.len() as f64 * share) as usize);
        writeln!(
            text,
            "{:<14} {:>6} {:>9} {:>9.1} {:>9.1}",
            service.name,
            mine.len(),
            answered.len(),
            at(0.5).unwrap_or(&0.0),
            at(0.99).unwrap_or(&0.0)
        )
        .ok();
        if answered.is_empty() || mine.iter().any(|sight| sight.ending == Ending::Wrong) {
            return Err(format!(
                "{text}\n{}: no answer, or a wrong one",
                service.name
            ));
        }
    }
    Ok(text)
}
