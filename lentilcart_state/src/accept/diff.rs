use serde_json::Value;

use crate::ticket::Ticket;

/// Returns how two tickets differ, one line for each field, such as
/// `~ catalogue.homes: 1 -> 2`, `+ catalogue.servers[10.0.0.7:80]` or `- reservations`.
#[must_use]
pub fn diff_tickets(from: &Ticket, to: &Ticket) -> Vec<String> {
    let mut lines = Vec::new();
    compare("", &tree(from), &tree(to), &mut lines);
    lines
}

/// Returns the services of a ticket by name, and servers and routes by address and path, so that
/// an inserted row does not shift the ones behind it.
fn tree(ticket: &Ticket) -> Value {
    let services = ticket.services.iter().map(|service| {
        let mut value = serde_json::to_value(service).expect("services have text keys");
        key_rows(&mut value, "servers", &["address"]);
        key_rows(&mut value, "routes", &["host", "path", "methods"]);
        (service.name.to_string(), value)
    });
    let removed = ticket
        .removed
        .iter()
        .map(|name| (name.to_string(), "removed".into()));
    Value::Object(services.chain(removed).collect())
}

fn key_rows(value: &mut Value, field: &str, keys: &[&str]) {
    let Some(Value::Array(rows)) = value.get_mut(field).map(Value::take) else {
        return;
    };
    let label = |row: &Value| {
        let parts = keys.iter().map(|key| match &row[*key] {
            Value::String(text) => text.clone(),
            Value::Array(list) if list.is_empty() => String::new(),
            other => other.to_string(),
        });
        let parts: Vec<String> = parts.filter(|part| !part.is_empty()).collect();
        format!("[{}]", parts.join(" "))
    };
    value[field] = Value::Object(rows.into_iter().map(|row| (label(&row), row)).collect());
}

fn compare(path: &str, from: &Value, to: &Value, lines: &mut Vec<String>) {
    match (from, to) {
        (Value::Object(old), Value::Object(new)) => {
            for (key, value) in old {
                match new.get(key) {
                    Some(next) => compare(&join(path, key), value, next, lines),
                    None => lines.push(format!("- {}", join(path, key))),
                }
            }
            let added = new.keys().filter(|key| !old.contains_key(*key));
            lines.extend(added.map(|key| format!("+ {}", join(path, key))));
        }
        _ if from == to => {}
        _ => lines.push(format!("~ {path}: {from} -> {to}")),
    }
}

fn join(path: &str, key: &str) -> String {
    match path {
        "" => key.to_owned(),
        _ if key.starts_with('[') => format!("{path}{key}"),
        _ => format!("{path}.{key}"),
    }
}
