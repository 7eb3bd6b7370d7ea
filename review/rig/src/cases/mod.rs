//! The cases, each with the check of its rule.

mod endless_answer;
mod large_bodies;
mod late_misdirected;
mod lost_watch;
mod waiting_at_stop;

use std::path::Path;

/// Runs a case and returns whether its rule was broken; `None` if there is no such case.
pub fn run(case: &str, folder: &Path, has_trouble: bool) -> Option<bool> {
    match case {
        "endless-answer" => Some(endless_answer::run(folder, has_trouble)),
        "large-bodies" => Some(large_bodies::run(folder, has_trouble)),
        "late-misdirected" => Some(late_misdirected::run(folder, has_trouble)),
        "lost-watch" => Some(lost_watch::run(folder, has_trouble)),
        "waiting-at-stop" => Some(waiting_at_stop::run(folder, has_trouble)),
        _ => None,
    }
}
