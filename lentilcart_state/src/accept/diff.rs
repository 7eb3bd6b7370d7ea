use serde_json::Value;

use crate::ticket::Ticket;

/// Returns the differences between the services that two tickets set or remove, one line for each
/// field.
///
/// `~` marks a changed field, `+` one that is only in the second ticket, `-` one that is only in the
/// first, such as `~ catalogue.homes: 1 -> 2`, `+ catalogue.servers[10.0.0.7:80]` or
/// `- reservations`. A service that a ticket removes appears as the value `"removed"`; `base` and
/// `note` are not compared. Servers with the same address, and routes with the same host, path and
/// methods, are paired and compared field by field.
#[must_use]
pub fn diff_tickets(from: &Ticket, to: &Ticket) -> Vec<String> {
    let mut lines = Vec::new();
    compare("", &to_tree(from), &to_tree(to), &mut lines);
    lines
}

/// Returns a ticket as a tree with services keyed by name, servers by address, and routes by host,
/// path and methods, so that an inserted element does not make the ones behind it differ.
fn to_tree(ticket: &Ticket) -> Value {
    let services = ticket.services.iter().map(|service| {
        let mut value = serde_json::to_value(service)
            .expect("encoding a service as JSON does not fail: all keys are strings");
        key_by_fields(&mut value, "servers", &["address"]);
        key_by_fields(&mut value, "routes", &["host", "path", "methods"]);
        (service.name.to_string(), value)
    });
    let removed = ticket
        .removed
        .iter()
        .map(|name| (name.to_string(), "removed".into()));
    Value::Object(services.chain(removed).collect())
}

/// Turns the array in a field into an object whose keys are made of the given fields of each
/// element.
fn key_by_fields(value: &mut Value, field: &str, keys: &[&str]) {
    let Some(Value::Array(elements)) = value.get_mut(field).map(Value::take) else {
        return;
    };
    let label = |element: &Value| {
        let parts = keys.iter().map(|key| match &element[*key] {
            Value::String(text) => text.clone(),
            Value::Array(list) if list.is_empty() => String::new(),
            other => other.to_string(),
        });
        let parts: Vec<String> = parts.filter(|part| !part.is_empty()).collect();
        format!("[{}]", parts.join(" "))
    };
    value[field] = Value::Object(
        elements
            .into_iter()
            .map(|element| (label(&element), element))
            .collect(),
    );
}

/// Adds a line for each difference of two trees whose root has the given path.
fn compare(path: &str, from: &Value, to: &Value, lines: &mut Vec<String>) {
    match (from, to) {
        (Value::Object(old), Value::Object(new)) => {
            for (key, value) in old {
                match new.get(key) {
                    Some(next) => compare(&join_path(path, key), value, next, lines),
                    None => lines.push(format!("- {}", join_path(path, key))),
                }
            }
            let added = new.keys().filter(|key| !old.contains_key(*key));
            lines.extend(added.map(|key| format!("+ {}", join_path(path, key))));
        }
        _ if from == to => {}
        _ => lines.push(format!("~ {path}: {from} -> {to}")),
    }
}

fn join_path(path: &str, key: &str) -> String {
    match path {
        "" => key.to_owned(),
        _ if key.starts_with('[') => format!("{path}{key}"),
        _ => format!("{path}.{key}"),
    }
}
