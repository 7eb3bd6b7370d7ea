use std::path::PathBuf;

use lentilcart_util::Map;
use pico_args::Arguments;
use serde_json::{Map as Fields, Value};

use super::error::CliError;

/// Fields that name the request of a log line.
const ID_FIELDS: [&str; 2] = ["request", "request_id"];
/// Fields that every line has and that are printed first.
const FIXED_FIELDS: [&str; 5] = ["unix_ms", "level", "process", "target", "message"];
/// Lines that tell of a change of what a process believes about itself and its surroundings.
const BELIEFS: [&str; 8] = [
    "started",
    "leaving",
    "routes in force",
    "store lost",
    "store regained",
    "entries changed",
    "settings reloaded",
    "the process stood still",
];

type Line = Fields<String, Value>;

/// Prints the story of a request out of log files.
pub(super) fn explain(args: Arguments) -> Result<(), CliError> {
    let mut words = args.finish().into_iter();
    let usage = || CliError::Usage("explain: expected ID FILE...; see --help".to_owned());
    let id = words
        .next()
        .ok_or_else(usage)?
        .to_string_lossy()
        .to_string();
    let files: Vec<PathBuf> = words.map(PathBuf::from).collect();
    if files.is_empty() || id.starts_with('-') {
        return Err(usage());
    }
    let mut text = String::new();
    for file in files {
        let bytes = std::fs::read(&file)
            .map_err(|error| CliError::Refused(format!("{}: {error}", file.display())))?;
        text += &String::from_utf8_lossy(&bytes);
        text.push('\n');
    }
    match tell(&id, &text) {
        story if story.is_empty() => Err(CliError::Refused(format!(
            "{id}: no line tells of this request; requests that went well are logged with RUST_LOG=debug"
        ))),
        story => {
            print!("{story}");
            Ok(())
        }
    }
}

/// Returns the story of a request: what each process believed when it first met it, and then every
/// line that names it, in order of time. Empty where no line does.
///
/// A line may have other text before its JSON.
#[must_use]
pub fn tell(id: &str, text: &str) -> String {
    let lines = text.lines().filter_map(|line| {
        let json = &line[line.find('{')?..];
        serde_json::from_str::<Line>(json).ok()
    });
    let mut lines: Vec<Line> = lines.collect();
    lines.sort_by_key(|line| line.get("unix_ms").and_then(Value::as_u64));
    let mut beliefs: Map<String, Vec<String>> = Map::default();
    let mut story = Vec::new();
    for line in &lines {
        let process = text_of(line, "process");
        let message = text_of(line, "message");
        let is_own = ID_FIELDS.iter().any(|field| text_of(line, field) == id);
        if is_own {
            for belief in beliefs.remove(&process).unwrap_or_default() {
                story.push(format!("  before: {belief}\n"));
            }
            story.push(format!("{}\n", print(line)));
        } else if BELIEFS.contains(&&*message) {
            let known = beliefs.entry(process).or_default();
            known.retain(|before| !before.contains(&message));
            known.push(print(line));
        }
    }
    story.concat()
}

fn text_of(line: &Line, field: &str) -> String {
    match line.get(field) {
        Some(Value::String(text)) => text.clone(),
        Some(other) => other.to_string(),
        None => String::new(),
    }
}

fn print(line: &Line) -> String {
    let rest = line.iter().filter(|(name, _)| {
        !FIXED_FIELDS.contains(&name.as_str()) && !ID_FIELDS.contains(&name.as_str())
    });
    let rest: Vec<String> = rest
        .map(|(name, _)| format!("{name}={}", text_of(line, name)))
        .collect();
    let [at, process, message] = ["unix_ms", "process", "message"].map(|name| text_of(line, name));
    format!("{at} {process}: {message} {}", rest.join(" "))
}
