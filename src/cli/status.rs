use std::io::IsTerminal;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lentilcart_util::{Map, Name};
use pico_args::Arguments;
use serde::Serialize;

use super::context::{Context, read_flag, read_positionals};
use super::error::CliError;
use crate::ops::{ServedView, ServerView, StatusView};

/// Time between two queries of the entries while watching.
const POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The address of each entry, and its response or the reason why there is none.
type Responses<T> = Vec<(SocketAddr, Result<T, String>)>;

/// Prints the ticket in force at every entry.
pub(super) async fn status(context: &Context, args: Arguments) -> Result<(), CliError> {
    reject_extra(read_positionals(args)?, 0)?;
    let responses = context.query_entries::<StatusView>("/status").await?;
    if context.json {
        print_json(&responses);
    } else {
        println!(
            "{:<16} {:<12} {:>7} {:>12} {:>6} {:>10} {:>9}  PEERS HEARD",
            "ENTRY", "DATA CENTRE", "TICKET", "CONFIRMED", "READY", "UPTIME", "IN FLIGHT"
        );
        for (address, response) in &responses {
            match response {
                Ok(view) => println!("{}", format_status(view)),
                Err(reason) => println!(
                    "{address:<16} {}",
                    red(&format!("no usable answer: {reason}"))
                ),
            }
        }
    }
    check_agreement(&responses)
}

/// Formats the status of an entry as a row of the table; peers count as heard if their last
/// heartbeat is less than a second old.
fn format_status(view: &StatusView) -> String {
    let heard = view
        .peers
        .values()
        .filter(|age| age.is_some_and(|ms| ms < 1000))
        .count();
    let ready = if view.ready {
        "yes".to_owned()
    } else {
        red("no")
    };
    format!(
        "{:<16} {:<12} {:>7} {:>12} {:>6} {:>10} {:>9}  {heard} of {}",
        view.entry,
        view.data_center,
        view.number,
        view.confirmed_age_ms.map_or_else(
            || "never".to_owned(),
            |ms| format!("{} ago", format_age(ms))
        ),
        ready,
        format_age(view.uptime_ms),
        view.in_flight,
        view.peers.len()
    )
}

/// Fails if an entry does not respond.
fn check_answers<T>(responses: &Responses<T>) -> Result<(), CliError> {
    let unanswered = responses
        .iter()
        .filter(|(_, response)| response.is_err())
        .count();
    match unanswered {
        0 => Ok(()),
        _ => Err(CliError::Failed(format!(
            "{unanswered} of {} entries do not answer",
            responses.len()
        ))),
    }
}

/// Fails if an entry does not respond, or if not all entries have the same ticket in force.
fn check_agreement(responses: &Responses<StatusView>) -> Result<(), CliError> {
    check_answers(responses)?;
    let mut numbers: Vec<u64> = responses
        .iter()
        .filter_map(|(_, response)| Some(response.as_ref().ok()?.number))
        .collect();
    numbers.sort_unstable();
    numbers.dedup();
    match numbers.len() {
        0 => Err(CliError::Failed("no entry is known".to_owned())),
        1 => Ok(()),
        _ => Err(CliError::Failed(format!(
            "entries disagree: tickets {numbers:?} are in force"
        ))),
    }
}

/// Prints every service and every server, with what each entry knows of them; fails if an entry does not
/// respond.
pub(super) async fn served(context: &Context, args: Arguments) -> Result<(), CliError> {
    let names = reject_extra(read_positionals(args)?, 1)?;
    let mut responses = context.query_entries::<ServedView>("/served").await?;
    if let Some(name) = names.first() {
        for (_, response) in &mut responses {
            if let Ok(view) = response {
                view.services
                    .retain(|service| &*service.service == name.as_str());
            }
        }
    }
    if context.json {
        print_json(&responses);
        return check_answers(&responses);
    }
    for (address, response) in responses.iter().filter(|(_, response)| response.is_err()) {
        let reason = response
            .as_ref()
            .err()
            .map(String::as_str)
            .unwrap_or_default();
        println!(
            "{}",
            red(&format!("entry {address}: no usable answer: {reason}"))
        );
    }
    let views: Vec<&ServedView> = responses
        .iter()
        .filter_map(|(_, r)| r.as_ref().ok())
        .collect();
    let mut services: Vec<&Name> = views
        .iter()
        .flat_map(|view| view.services.iter().map(|s| &s.service))
        .collect();
    services.sort_unstable();
    services.dedup();
    if let (true, Some(name)) = (services.is_empty(), names.first()) {
        return Err(CliError::Failed(format!(
            "{name}: no entry that answered knows a service of this name"
        )));
    }
    for service in services {
        print_service(service, &views);
    }
    check_answers(&responses)
}

/// Prints a service and its servers, from the views of all entries.
fn print_service(service: &Name, views: &[&ServedView]) {
    // The name of each entry that has the service, and its view of the service.
    let by_entry = views.iter().filter_map(|view| {
        let found = view.services.iter().find(|s| s.service == *service)?;
        Some((&view.entry, found))
    });
    let by_entry: Vec<_> = by_entry.collect();
    // The views of each server, with the name of the entry.
    let mut servers: Map<SocketAddr, Vec<(&Name, &ServerView)>> = Map::default();
    for (entry, view) in &by_entry {
        for server in &view.servers {
            servers
                .entry(server.address)
                .or_default()
                .push((entry, server));
        }
    }
    let is_usable = |views: &Vec<(&Name, &ServerView)>| {
        views
            .iter()
            .any(|(_, s)| matches!(&*s.state, "serving" | "ramping"))
    };
    let usable = servers.values().filter(|views| is_usable(views)).count();
    let summary = match usable {
        0 => red("DOWN"),
        n if n == servers.len() => "up".to_owned(),
        _ => red("degraded"),
    };
    println!(
        "{service}: {summary}, {usable} of {} servers usable",
        servers.len()
    );
    for (entry, view) in by_entry.iter().filter(|(_, view)| view.p50_ms.is_some()) {
        println!(
            "  at {entry}: {} waiting, p50 {:.1} ms, p99 {:.1} ms, homes {}",
            view.queued,
            view.p50_ms.unwrap_or_default(),
            view.p99_ms.unwrap_or_default(),
            view.owners
                .iter()
                .map(Name::as_str)
                .collect::<Vec<_>>()
                .join(" ")
        );
    }
    println!(
        "  {:<22} {:<12} {:<10} {:>7} {:>9} {:>7} {:>9} {:>10}  BY ENTRY",
        "SERVER", "DATA CENTRE", "STATE", "RUNNING", "ANSWERED", "FAILED", "MEAN", "HEARD"
    );
    let mut servers: Vec<_> = servers.into_iter().collect();
    servers.sort_by_key(|(address, _)| *address);
    for (address, views) in servers {
        println!("  {}", format_server(address, &views));
    }
}

/// Formats a server as a row of the table, from the views of all entries.
///
/// Counts are summed over the entries. The mean latency is that of the entry with the most recent
/// answer; the data centre and the slots are those of the first view.
fn format_server(address: SocketAddr, views: &[(&Name, &ServerView)]) -> String {
    let sum = |field: fn(&ServerView) -> u64| views.iter().map(|(_, s)| field(s)).sum::<u64>();
    let heard = views.iter().filter_map(|(_, s)| s.answer_age_ms).min();
    let freshest = views
        .iter()
        .min_by_key(|(_, s)| s.answer_age_ms.unwrap_or(u64::MAX));
    let mut states: Vec<&Name> = views.iter().map(|(_, s)| &s.state).collect();
    states.sort_unstable();
    states.dedup();
    let (state, by_entry) = if let [one] = &states[..] {
        (one.to_string(), String::new())
    } else {
        let each = views
            .iter()
            .map(|(entry, s)| format!("{entry}={}", s.state));
        ("disagree".to_owned(), each.collect::<Vec<_>>().join(" "))
    };
    let padded = format!("{state:<10}");
    let shown = if state == "serving" {
        padded
    } else {
        red(&padded)
    };
    format!(
        "{:<22} {:<12} {shown} {:>3}/{:<3} {:>9} {:>7} {:>6.1} ms {:>10}  {by_entry}",
        address,
        views[0].1.data_center,
        sum(|s| s.outstanding.into()),
        views[0].1.slots,
        sum(|s| s.answered),
        sum(|s| s.failed),
        freshest.map(|(_, s)| s.mean_ms).unwrap_or_default(),
        heard.map_or_else(
            || "never".to_owned(),
            |ms| format!("{} ago", format_age(ms))
        ),
    )
}

/// Prints the highest ticket number in force at any entry that answered, and at how many of all
/// entries it is in force, whenever this line changes.
pub(super) async fn watch(context: &Context, mut args: Arguments) -> Result<(), CliError> {
    let seconds = read_flag(&mut args, "--seconds", "")?.unwrap_or_else(|| "0".to_owned());
    let limit: u64 = seconds.parse().map_err(|_| {
        CliError::Usage(format!(
            "--seconds = {seconds:?}: expected a whole number of seconds"
        ))
    })?;
    reject_extra(read_positionals(args)?, 0)?;
    let started = Instant::now();
    let mut shown = String::new();
    while limit == 0 || started.elapsed().as_secs() < limit {
        let responses = context.query_entries::<StatusView>("/status").await?;
        let views: Vec<&StatusView> = responses
            .iter()
            .filter_map(|(_, r)| r.as_ref().ok())
            .collect();
        let latest = views
            .iter()
            .map(|view| view.number)
            .max()
            .unwrap_or_default();
        let in_force = views.iter().filter(|view| view.number == latest).count();
        let line = if context.json {
            let all = responses.len();
            serde_json::json!({ "number": latest, "in_force": in_force, "entries": all })
                .to_string()
        } else {
            format!(
                "ticket {latest} in force at {in_force} of {} entries",
                responses.len()
            )
        };
        if line != shown {
            println!("{line}");
            shown = line;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

/// Returns the positional arguments, or an error if there are more than `max`.
fn reject_extra(positionals: Vec<String>, max: usize) -> Result<Vec<String>, CliError> {
    match positionals.get(max) {
        Some(extra) => Err(CliError::Usage(format!(
            "{extra}: unexpected argument; see --help"
        ))),
        None => Ok(positionals),
    }
}

/// Prints an array with the response of each entry, or the reason why there is none.
fn print_json<T: Serialize>(responses: &Responses<T>) {
    let to_json = |(address, response): &(SocketAddr, Result<T, String>)| match response {
        Ok(view) => serde_json::json!({ "address": address, "view": view }),
        Err(reason) => serde_json::json!({ "address": address, "silent": reason }),
    };
    println!(
        "{}",
        serde_json::Value::Array(responses.iter().map(to_json).collect())
    );
}

/// Colours a text red if standard output is a terminal.
fn red(text: &str) -> String {
    if std::io::stdout().is_terminal() {
        format!("\u{1b}[31m{text}\u{1b}[0m")
    } else {
        text.to_owned()
    }
}

/// Formats an age in milliseconds, in the unit that suits its size.
fn format_age(millis: u64) -> String {
    match millis {
        0..1000 => format!("{millis} ms"),
        1000..120_000 => format!("{:.1} s", millis as f64 / 1e3),
        _ => format!("{} min", millis / 60_000),
    }
}
