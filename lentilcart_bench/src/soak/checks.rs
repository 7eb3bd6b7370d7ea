use std::fmt::Write as _;
use std::time::Duration;

use lentilcart_util::{Map, Name};

use super::client::PROMISES;
use super::entry::{Entry, EntryEvent};
use super::record::{ColdArrival, Outcome, RecordState, RouteVersion, Run, SentRequest};
use super::site::{CONFIG_APPLY, GRACE};

/// Time before a stop of an entry within which a request counts as sent around it, in milliseconds.
const AROUND_MS: u64 = 3000;

/// Time after which an entry has read a request and must not end its connection without an answer, in
/// milliseconds.
const LOSS_SLACK_MS: u64 = 200;
/// Span in which the requests of cold servers are limited, in milliseconds.
const COLD_SPAN_MS: u64 = 1000;
/// Time before a request from which copies of answers belong to its story, in milliseconds.
const COPY_MS: u64 = 1000;

/// A broken rule: its name and the request that shows it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SoakFault {
    /// Name: `TWICE`, `REFUSED`, `ROUTE`, `CONFIG`, `MIXED`, `LOST`, `UNASKED` for a request that was changed on
    /// its way, `EVACUATED` for what a server of an evacuated data centre got too late, `COLD` for a cold server that
    /// got too many requests, or `ENDED` for an entry that ended by itself.
    pub rule: &'static str,
    /// Identifier of the request, empty for a health check; the name of the entry that has ended.
    pub request: Name,
    /// What is wrong.
    pub detail: String,
}

/// Compares what clients and servers saw, and returns the rules that were broken.
///
/// `versions` are those of the routes, in the order in which the store got them. `is_in_touch` tells whether the
/// entry of a request was running on and reached the store. `is_planned_end` tells whether a connection of a
/// request to an entry ended around a planned stop of the entry, with no other fault of it.
#[must_use]
pub fn find_faults(
    requests: &[SentRequest],
    runs: &[Run],
    versions: &[RouteVersion],
    is_in_touch: impl Fn(&SentRequest) -> bool,
    is_planned_end: impl Fn(&SentRequest) -> bool,
) -> Vec<SoakFault> {
    let mut runs_of: Map<&Name, Vec<&Run>> = Map::default();
    for run in runs {
        runs_of.entry(&run.request).or_default().push(run);
    }
    let mut faults = Vec::new();
    for request in requests {
        let runs = runs_of.get(&request.id).map_or(&[][..], Vec::as_slice);
        let mut add = |rule, detail| {
            faults.push(SoakFault {
                rule,
                request: request.id.clone(),
                detail,
            });
        };
        let servers: Vec<_> = runs.iter().map(|run| &*run.server).collect();
        if request.is_once && runs.len() > 1 {
            add("TWICE", format!("it ran at {servers:?}"));
        }
        let is_allowed = |run: &Run, version: &RouteVersion| {
            version.services.get(request.kind) == Some(&run.service)
        };
        let current = select_versions(versions, request);
        let mut is_old = match &request.outcome {
            Outcome::Answered(404, _) => current
                .iter()
                .all(|version| version.services.contains_key(request.kind)),
            _ => false,
        };
        for run in runs {
            let mut sent = versions.iter().filter(|version| version.sent <= run.start);
            if !sent.any(|version| is_allowed(run, version)) {
                add(
                    "ROUTE",
                    format!("it ran at {}, {}", run.server, run.service),
                );
            } else if !current.iter().any(|version| is_allowed(run, version)) {
                is_old = true;
            }
        }
        if is_old && is_in_touch(request) {
            let (outcome, service) = (&request.outcome, runs.first().map(|run| run.service));
            add(
                "CONFIG",
                format!("{outcome:?}, ran at {service:?}, in force: {current:?}"),
            );
        }
        match &request.outcome {
            Outcome::Answered(status, _)
                if request.is_once && PROMISES.contains(status) && !runs.is_empty() =>
            {
                add("REFUSED", format!("answered {status}, ran at {servers:?}"));
            }
            _ => {}
        }
        match &request.outcome {
            Outcome::Answered(status, Some(mix_up)) => {
                add("MIXED", format!("answered {status}: {mix_up}"));
            }
            Outcome::Answered(200, None) if !runs.iter().any(|run| run.answer == "whole") => {
                add("MIXED", "answered 200, no server did".to_owned());
            }
            Outcome::Cut(reason) if is_planned_end(request) && is_lost(request, runs) => {
                add(
                    "LOST",
                    format!("passed on to {servers:?}, and ended: {reason}"),
                );
            }
            _ => {}
        }
    }
    faults
}

/// Returns a fault for each server that got more than `allowed` requests in a second while it was cold; its request
/// is the last of them.
#[must_use]
pub fn find_cold_faults(arrivals: &[ColdArrival], allowed: f64) -> Vec<SoakFault> {
    let peaks = find_cold_peaks(arrivals).into_iter();
    let too_high = peaks.filter(|peak| peak.len() as f64 > allowed);
    too_high
        .filter_map(|peak| {
            let (first, last) = (peak.first()?, peak.last()?);
            let (server, count, start) = (&first.server, peak.len(), first.at);
            Some(SoakFault {
                rule: "COLD",
                request: last.request.clone(),
                detail: format!("{server} got {count} requests from {start}, allowed {allowed}"),
            })
        })
        .collect()
}

/// Returns the requests of the second in which each cold server got most, in the order of their arrival.
pub(super) fn find_cold_peaks(arrivals: &[ColdArrival]) -> Vec<Vec<&ColdArrival>> {
    let mut arrivals_of: Map<&Name, Vec<&ColdArrival>> = Map::default();
    for arrival in arrivals {
        arrivals_of
            .entry(&arrival.server)
            .or_default()
            .push(arrival);
    }
    arrivals_of.into_values().map(find_peak).collect()
}

fn find_peak(mut arrivals: Vec<&ColdArrival>) -> Vec<&ColdArrival> {
    arrivals.sort_by_key(|arrival| arrival.at);
    let seconds = (0..arrivals.len()).map(|index| {
        let end = arrivals[index].at + COLD_SPAN_MS;
        let later = arrivals[index..].iter().copied();
        later
            .take_while(|arrival| arrival.at < end)
            .collect::<Vec<_>>()
    });
    seconds.max_by_key(Vec::len).unwrap_or_default()
}

/// Returns the versions that may be in force at a request: that of [`CONFIG_APPLY`] before it was sent, and all
/// later ones.
fn select_versions<'a>(versions: &'a [RouteVersion], request: &SentRequest) -> &'a [RouteVersion] {
    let apply = CONFIG_APPLY.as_millis() as u64;
    let applied = versions.partition_point(|version| version.sent + apply < request.sent);
    let sent = versions.partition_point(|version| version.sent <= request.ended);
    &versions[applied.saturating_sub(1)..sent]
}

/// Returns whether an entry was not stopped, from the time before a request in which it applies a version.
pub(super) fn is_running_on(entry: &Entry, request: &SentRequest) -> bool {
    let apply = CONFIG_APPLY.as_millis() as u64;
    let is_pause = |event| matches!(event, EntryEvent::Stopped | EntryEvent::Continued);
    let is_near = |at: u64| at + 2 * apply >= request.sent && at <= request.ended;
    !entry
        .events()
        .iter()
        .any(|(at, event)| is_pause(*event) && is_near(*at))
}

/// Returns whether a request whose connection ended without an answer had been passed on to servers that did
/// not break off, or had been read long before.
fn is_lost(request: &SentRequest, runs: &[&Run]) -> bool {
    if runs.is_empty() {
        return request.ended - request.sent > LOSS_SLACK_MS;
    }
    let is_sound = |run: &&Run| ["whole", "none, the caller left"].contains(&run.answer);
    runs.iter().all(is_sound)
}

/// Returns whether a request was sent around a stop by TERM of its entry, or around its HUP, without any other
/// fault of it.
pub(super) fn is_around_stop(entry: &Entry, request: &SentRequest) -> bool {
    let events = entry.events();
    let is_stop = |(at, event): &(u64, EntryEvent)| {
        let time = match event {
            EntryEvent::Terminated => GRACE + Duration::from_secs(1),
            EntryEvent::Reloaded => CONFIG_APPLY,
            _ => return false,
        };
        at + time.as_millis() as u64 >= request.sent && *at <= request.ended
    };
    let is_other = |(at, event): &(u64, EntryEvent)| {
        use EntryEvent::{Reloaded, Started, Terminated};
        let is_harm = !matches!(event, Terminated | Started | Reloaded);
        is_harm && at + AROUND_MS >= request.sent && *at <= request.ended
    };
    events.iter().any(is_stop) && !events.iter().any(is_other)
}

/// Tells the story of a fault: the client's view, the runs, and the log lines of all entries that name the
/// request.
pub(super) fn tell_story(fault: &SoakFault, state: &RecordState, entries: &[Entry]) -> String {
    let mut story = format!("{} {}: {}\n", fault.rule, fault.request, fault.detail);
    let mut add = |line: String| writeln!(story, "{line}").expect("writing to a string succeeds");
    let requests = state.requests.iter();
    for request in requests.filter(|request| request.id == fault.request) {
        add(format!("  client: {request:?}"));
        let entry = &entries[request.entry];
        let (program, events) = (entry.program.display(), entry.events());
        add(format!("  entry: {} {program} {events:?}", entry.name));
        for copy in &state.copies {
            let is_near = copy.at + COPY_MS >= request.sent && copy.at <= request.ended;
            if is_near && copy.caller.ip() == entry.address.ip() {
                add(format!(
                    "  copy: {} {} of {:?}, {}, from {} to {}",
                    copy.at, copy.kind, copy.request, copy.when, copy.server, copy.caller
                ));
            }
        }
    }
    for run in state.runs.iter().filter(|run| run.request == fault.request) {
        add(format!("  run: {run:?}"));
    }
    // A health check has no identifier to look for.
    let named = if fault.request.is_empty() {
        &[]
    } else {
        entries
    };
    for entry in named {
        let lines = entry.find_log_lines(&fault.request);
        if !lines.is_empty() {
            add(format!("  log of {}:\n{}", entry.name, lines.trim_end()));
        }
    }
    story
}
