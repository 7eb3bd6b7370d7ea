//! The cases, each with the check of its rule.

mod endless_answer;
mod large_bodies;
mod late_misdirected;
mod late_rejection;
mod lost_watch;
mod waiting_at_stop;

use std::path::Path;

use crate::clients::Outcome;
use crate::record::Record;

/// Runs a case and returns whether its rule was broken; `None` if there is no such case.
pub fn run(case: &str, folder: &Path, has_trouble: bool) -> Option<bool> {
    match case {
        "endless-answer" => Some(endless_answer::run(folder, has_trouble)),
        "large-bodies" => Some(large_bodies::run(folder, has_trouble)),
        "late-misdirected" => Some(late_misdirected::run(folder, has_trouble)),
        "late-rejection" => Some(late_rejection::run(folder, has_trouble)),
        "lost-watch" => Some(lost_watch::run(folder, has_trouble)),
        "waiting-at-stop" => Some(waiting_at_stop::run(folder, has_trouble)),
        _ => None,
    }
}

/// Checks TWICE and REFUSED, and records what broke them; returns whether one is broken.
fn is_run_wrongly(record: &Record, outcomes: &[Outcome]) -> bool {
    let runs = record.runs();
    let twice: Vec<_> = runs
        .iter()
        .filter(|(_, servers)| servers.len() > 1)
        .collect();
    for (id, servers) in &twice {
        record.line(&format!("TWICE: {id} ran on {servers:?}"));
    }
    let is_refused = |outcome: &&Outcome| {
        matches!(outcome.status, Some(408 | 421 | 429 | 503)) && runs.contains_key(&outcome.id)
    };
    let refused: Vec<_> = outcomes.iter().filter(is_refused).collect();
    for outcome in &refused {
        record.line(&format!(
            "REFUSED: {} has run and was answered {}",
            outcome.id,
            outcome.status.unwrap_or_default()
        ));
    }
    println!(
        "{} requests, {} ran twice, {} were refused though they had run",
        outcomes.len(),
        twice.len(),
        refused.len()
    );
    !twice.is_empty() || !refused.is_empty()
}
