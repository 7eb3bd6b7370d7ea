use std::io::IsTerminal;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lentilcart_util::{Map, Name};
use pico_args::Arguments;
use serde::Serialize;

use super::context::{Context, flag, rest};
use super::error::CliError;
use crate::ops::{ServedView, ServerView, StatusView};

const WATCH_EVERY: Duration = Duration::from_millis(250);

type Answers<T> = Vec<(SocketAddr, Result<T, String>)>;

/// Prints the ticket in force at every entry.
pub(super) async fn status(context: &Context, args: Arguments) -> Result<(), CliError> {
    no_more(rest(args)?, 0)?;
    let answers = context.ask_entries::<StatusView>("/status").await?;
    if context.json {
        print_json(&answers);
    } else {
        println!(
            "{:<16} {:<12} {:>7} {:>12} {:>6} {:>10} {:>9}  PEERS HEARD",
            "ENTRY", "DATA CENTRE", "TICKET", "CONFIRMED", "READY", "UPTIME", "IN FLIGHT"
        );
        for (address, answer) in &answers {
            match answer {
                Ok(view) => println!("{}", status_line(view)),
                Err(reason) => println!("{address:<16} {}", red(&format!("silent: {reason}"))),
            }
        }
    }
    judge(&answers)
}

fn status_line(view: &StatusView) -> String {
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
        view.confirmed_ms
            .map_or_else(|| "never".to_owned(), |ms| format!("{} ago", age(ms))),
        ready,
        age(view.uptime_ms),
        view.in_flight,
        view.peers.len()
    )
}

/// Refuses where an entry is silent or entries disagree.
fn judge(answers: &Answers<StatusView>) -> Result<(), CliError> {
    let silent = answers.iter().filter(|(_, answer)| answer.is_err()).count();
    let mut numbers: Vec<u64> = answers
        .iter()
        .filter_map(|(_, answer)| Some(answer.as_ref().ok()?.number))
        .collect();
    numbers.sort_unstable();
    numbers.dedup();
    match numbers.len() {
        _ if silent > 0 => Err(CliError::Refused(format!(
            "{silent} of {} entries are silent",
            answers.len()
        ))),
        0 => Err(CliError::Refused("no entry is known".to_owned())),
        1 => Ok(()),
        _ => Err(CliError::Refused(format!(
            "entries disagree: tickets {numbers:?} are in force"
        ))),
    }
}

/// Prints every server as each entry sees it.
pub(super) async fn served(context: &Context, args: Arguments) -> Result<(), CliError> {
    let names = no_more(rest(args)?, 1)?;
    let mut answers = context.ask_entries::<ServedView>("/served").await?;
    if let Some(name) = names.first() {
        for (_, answer) in &mut answers {
            if let Ok(view) = answer {
                view.services
                    .retain(|service| &*service.service == name.as_str());
            }
        }
    }
    if context.json {
        print_json(&answers);
        return Ok(());
    }
    for (address, answer) in answers.iter().filter(|(_, answer)| answer.is_err()) {
        let reason = answer
            .as_ref()
            .err()
            .map(String::as_str)
            .unwrap_or_default();
        println!("{}", red(&format!("entry {address} is silent: {reason}")));
    }
    let views: Vec<&ServedView> = answers
        .iter()
        .filter_map(|(_, a)| a.as_ref().ok())
        .collect();
    let mut services: Vec<&Name> = views
        .iter()
        .flat_map(|view| view.services.iter().map(|s| &s.service))
        .collect();
    services.sort_unstable();
    services.dedup();
    if let (true, Some(name)) = (services.is_empty(), names.first()) {
        return Err(CliError::Refused(format!(
            "{name}: no entry serves a service of this name"
        )));
    }
    for service in services {
        print_service(service, &views);
    }
    Ok(())
}

fn print_service(service: &Name, views: &[&ServedView]) {
    let rows = views.iter().filter_map(|view| {
        let found = view.services.iter().find(|s| s.service == *service)?;
        Some((&view.entry, found))
    });
    let rows: Vec<_> = rows.collect();
    let mut servers: Map<SocketAddr, Vec<(&Name, &ServerView)>> = Map::default();
    for (entry, row) in &rows {
        for server in &row.servers {
            servers
                .entry(server.address)
                .or_default()
                .push((entry, server));
        }
    }
    let usable = |views: &Vec<(&Name, &ServerView)>| {
        views
            .iter()
            .any(|(_, s)| matches!(&*s.state, "serving" | "ramping"))
    };
    let up = servers.values().filter(|views| usable(views)).count();
    let verdict = match up {
        0 => red("DOWN"),
        all if all == servers.len() => "up".to_owned(),
        _ => red("degraded"),
    };
    println!(
        "{service}: {verdict}, {up} of {} servers in use",
        servers.len()
    );
    for (entry, row) in rows.iter().filter(|(_, row)| row.p50_ms.is_some()) {
        println!(
            "  at {entry}: {} waiting, p50 {:.1} ms, p99 {:.1} ms, homes {}",
            row.waiting,
            row.p50_ms.unwrap_or_default(),
            row.p99_ms.unwrap_or_default(),
            row.homes
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
        println!("  {}", server_line(address, &views));
    }
}

fn server_line(address: SocketAddr, views: &[(&Name, &ServerView)]) -> String {
    let sum = |field: fn(&ServerView) -> u64| views.iter().map(|(_, s)| field(s)).sum::<u64>();
    let heard = views.iter().filter_map(|(_, s)| s.heard_ms).min();
    let freshest = views
        .iter()
        .min_by_key(|(_, s)| s.heard_ms.unwrap_or(u64::MAX));
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
        heard.map_or_else(|| "never".to_owned(), |ms| format!("{} ago", age(ms))),
    )
}

/// Prints a line whenever the tickets in force change.
pub(super) async fn watch(context: &Context, mut args: Arguments) -> Result<(), CliError> {
    let seconds = flag(&mut args, "--seconds", "")?.unwrap_or_else(|| "0".to_owned());
    let limit: u64 = seconds.parse().map_err(|_| {
        CliError::Usage(format!(
            "--seconds = {seconds:?}: expected a whole number of seconds"
        ))
    })?;
    no_more(rest(args)?, 0)?;
    let started = Instant::now();
    let mut shown = String::new();
    while limit == 0 || started.elapsed().as_secs() < limit {
        let answers = context.ask_entries::<StatusView>("/status").await?;
        let views: Vec<&StatusView> = answers
            .iter()
            .filter_map(|(_, a)| a.as_ref().ok())
            .collect();
        let latest = views
            .iter()
            .map(|view| view.number)
            .max()
            .unwrap_or_default();
        let there = views.iter().filter(|view| view.number == latest).count();
        let line = if context.json {
            let all = answers.len();
            serde_json::json!({ "number": latest, "in_force": there, "entries": all }).to_string()
        } else {
            format!(
                "ticket {latest} in force at {there} of {} entries",
                answers.len()
            )
        };
        if line != shown {
            println!("{line}");
            shown = line;
        }
        tokio::time::sleep(WATCH_EVERY).await;
    }
    Ok(())
}

fn no_more(rest: Vec<String>, allowed: usize) -> Result<Vec<String>, CliError> {
    match rest.get(allowed) {
        Some(extra) => Err(CliError::Usage(format!(
            "{extra}: unexpected argument; see --help"
        ))),
        None => Ok(rest),
    }
}

fn print_json<T: Serialize>(answers: &Answers<T>) {
    let row = |(address, answer): &(SocketAddr, Result<T, String>)| match answer {
        Ok(view) => serde_json::json!({ "address": address, "view": view }),
        Err(reason) => serde_json::json!({ "address": address, "silent": reason }),
    };
    println!(
        "{}",
        serde_json::Value::Array(answers.iter().map(row).collect())
    );
}

fn red(text: &str) -> String {
    if std::io::stdout().is_terminal() {
        format!("\u{1b}[31m{text}\u{1b}[0m")
    } else {
        text.to_owned()
    }
}

fn age(millis: u64) -> String {
    match millis {
        0..1000 => format!("{millis} ms"),
        1000..120_000 => format!("{:.1} s", millis as f64 / 1e3),
        _ => format!("{} min", millis / 60_000),
    }
}
