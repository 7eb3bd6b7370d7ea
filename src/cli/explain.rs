use std::path::PathBuf;

use lentilcart_util::Map;
use pico_args::Arguments;
use serde_json::{Map as Fields, Value};

use super::context::read_positionals;
use super::error::CliError;

/// Fields of a log line that hold the id of a request.
const ID_FIELDS: [&str; 2] = ["request", "request_id"];
/// Fields that log lines have in common; they are printed at fixed places or left out.
const FIXED_FIELDS: [&str; 5] = ["unix_ms", "level", "process", "target", "message"];
/// Messages that report a change in the state of a process or of what it knows of others; they must
/// equal the texts that the daemon logs.
const STATE_MESSAGES: [&str; 8] = [
    "started",
    "leaving",
    "routes in force",
    "store lost",
    "store regained",
    "entries changed",
    "settings reloaded",
    "the process stood still",
];

/// The fields of a log line.
type Line = Fields<String, Value>;

/// Prints what log files say about a request.
pub(super) fn explain(args: Arguments) -> Result<(), CliError> {
    let mut positionals = read_positionals(args)?.into_iter();
    let usage = || CliError::Usage("explain: expected ID FILE...; see --help".to_owned());
    let id = positionals.next().ok_or_else(usage)?;
    let files: Vec<PathBuf> = positionals.map(PathBuf::from).collect();
    if files.is_empty() {
        return Err(usage());
    }
    let mut text = String::new();
    for file in files {
        let bytes = std::fs::read(&file)
            .map_err(|error| CliError::Failed(format!("{}: {error}", file.display())))?;
        text += &String::from_utf8_lossy(&bytes);
        text.push('\n');
    }
    match explain_request(&id, &text) {
        report if report.is_empty() => Err(CliError::Failed(format!(
            "{id}: no log line names this request; requests that succeed are logged only at RUST_LOG=debug"
        ))),
        report => {
            print!("{report}");
            Ok(())
        }
    }
}

/// Returns every log line that names a request, in order of time, as text; empty if there is none.
///
/// Before each line come the state messages of its process since the previous one, the latest of
/// each kind, marked with `before:`. A line may have other text before its JSON.
#[must_use]
pub fn explain_request(id: &str, text: &str) -> String {
    let lines = text.lines().filter_map(|line| {
        let json = &line[line.find('{')?..];
        serde_json::from_str::<Line>(json).ok()
    });
    let mut lines: Vec<Line> = lines.collect();
    lines.sort_by_key(|line| line.get("unix_ms").and_then(Value::as_u64));
    // The state messages of each process since its previous line about the request, each with its line.
    let mut states: Map<String, Vec<(String, String)>> = Map::default();
    let mut report = Vec::new();
    for line in &lines {
        let process = get_text(line, "process");
        let message = get_text(line, "message");
        let is_match = ID_FIELDS.iter().any(|field| get_text(line, field) == id);
        if is_match {
            for (_, state) in states.remove(&process).unwrap_or_default() {
                report.push(format!("  before: {state}\n"));
            }
            report.push(format!("{}\n", format_line(line)));
        } else if STATE_MESSAGES.contains(&&*message) {
            let earlier = states.entry(process).or_default();
            earlier.retain(|(kind, _)| *kind != message);
            earlier.push((message, format_line(line)));
        }
    }
    report.concat()
}

/// Returns a field as text; empty if it is missing.
fn get_text(line: &Line, field: &str) -> String {
    match line.get(field) {
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
        None => String::new(),
    }
}

/// Formats a log line: time in Unix milliseconds, process, message, and then the other fields,
/// without level, target and request id.
fn format_line(line: &Line) -> String {
    let rest = line.iter().filter(|(name, _)| {
        !FIXED_FIELDS.contains(&name.as_str()) && !ID_FIELDS.contains(&name.as_str())
    });
    let rest: Vec<String> = rest
        .map(|(name, _)| format!("{name}={}", get_text(line, name)))
        .collect();
    let [at, process, message] = ["unix_ms", "process", "message"].map(|name| get_text(line, name));
    format!("{at} {process}: {message} {}", rest.join(" "))
}
