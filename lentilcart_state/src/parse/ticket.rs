use std::net::SocketAddr;

use lentilcart_util::{Micros, Name, Set};
use toml_edit::Document;

use super::reader::{Fields, Reader};
use crate::error::{FieldError, TicketError};
use crate::ticket::{
    EjectLimits, ProbeBudget, RequestClass, RetryLimits, Route, Server, Service, Ticket,
};

const DEFAULT_DEADLINE: Micros = Micros::from_millis(1000);
const DEFAULT_RAMP: Micros = Micros::from_millis(2000);
const DEFAULT_KEEP: Micros = Micros::from_millis(600_000);
const DEFAULT_OVERCOMMIT: u64 = 2;
const DEFAULT_WAIT: f64 = 0.5;
const CLASSES: [(&str, RequestClass); 2] = [
    ("idempotent", RequestClass::Idempotent),
    ("once", RequestClass::Once),
];

/// Reads a ticket from the text of a TOML file and checks it as a whole.
///
/// `policies` names the routing policies that a service may choose; the first is the default.
///
/// # Errors
///
/// Returns every fault of the file with its line, field and value.
///
/// # Examples
///
/// ```
/// let error = lentilcart_state::parse_ticket("base = -1", &["late"]).unwrap_err();
/// assert_eq!(error.errors[0].field, "base");
/// ```
pub fn parse_ticket(source: &str, policies: &[&'static str]) -> Result<Ticket, TicketError> {
    let document = Document::parse(source).map_err(|e| syntax(source, &e))?;
    let reader = Reader::new(source);
    let root = reader.root(document.as_table());
    let ticket = Ticket {
        base: root.whole("base", 0, 0..u64::MAX),
        note: root.text_or("note", "").to_string(),
        services: root
            .tables("service", "name")
            .iter()
            .map(|t| service(t, policies))
            .collect(),
        removed: root.list("removed", "expected the name of a service", text),
    };
    if ticket.services.is_empty() && ticket.removed.is_empty() {
        root.fault("service", "the ticket sets and removes no service");
    }
    unique(
        &root,
        "removed",
        ticket.get_service_names(),
        "the service stands twice in the ticket",
    );
    root.finish();
    drop(root);
    match reader.into_errors() {
        errors if errors.is_empty() => Ok(ticket),
        errors => Err(TicketError { errors }),
    }
}

fn service(t: &Fields<'_>, policies: &[&'static str]) -> Service {
    let choices: Vec<_> = policies.iter().map(|name| (*name, *name)).collect();
    let service = Service {
        name: t.text("name"),
        tenant: t.text("tenant"),
        policy: t
            .choice("policy", Some(policies[0]), &choices)
            .unwrap_or_default()
            .into(),
        owners: t.whole("homes", 1, 0..1000) as u32,
        overcommit: t.whole("overcommit", DEFAULT_OVERCOMMIT, 0..1000) as u32,
        connections: t.whole("connections", 200, 1..100_000) as u32,
        wait_share: t.number("wait", DEFAULT_WAIT, 0.0..1.0),
        slow_start: t.span("ramp", DEFAULT_RAMP),
        key_retention: t.span("keep", DEFAULT_KEEP),
        not_run: t.list("not_run", "expected a status from 400 to 599", status),
        probe_budget: load(&t.table("load")),
        retry: retry(&t.table("retry")),
        ejection: eject(&t.table("eject")),
        routes: t.tables("route", "path").iter().map(route).collect(),
        servers: servers(t),
    };
    if service.name.is_empty() || service.name.contains(['/', ' ']) {
        t.fault("name", "expected a name without spaces and slashes");
    }
    if service.routes.is_empty() {
        t.fault("route", "a service needs at least one route");
    }
    let once = service
        .routes
        .iter()
        .filter(|r| r.class == RequestClass::Once);
    let longest = once.map(|r| r.deadline).max().unwrap_or_default();
    if service.key_retention < longest + longest {
        t.fault(
            "keep",
            "expected at least twice the longest deadline of a once route",
        );
    }
    if service.owners == 0 && service.connections < service.probe_budget.entries {
        t.fault(
            "connections",
            "fewer connections than entries that share them (load.entries)",
        );
    }
    t.finish();
    service
}

fn servers(t: &Fields<'_>) -> Vec<Server> {
    let mut seen: Set<SocketAddr> = Set::default();
    let mut servers = Vec::new();
    for row in t.tables("server", "address") {
        let server = Server {
            address: address(&row),
            data_center: row.text("data_center"),
            slots: row.whole("slots", 3, 1..100_000) as u32,
        };
        row.finish();
        if !seen.insert(server.address) {
            row.fault("address", "the server stands twice in the service");
        }
        servers.push(server);
    }
    servers
}

fn address(row: &Fields<'_>) -> SocketAddr {
    let text = row.text("address");
    text.parse().unwrap_or_else(|_| {
        if !text.is_empty() {
            row.fault(
                "address",
                "expected an IP address and a port, such as \"10.0.0.7:8080\"",
            );
        }
        SocketAddr::from(([0, 0, 0, 0], 0))
    })
}

fn route(t: &Fields<'_>) -> Route {
    let route = Route {
        host: t.text_or("host", ""),
        path: t.text_or("path", "/"),
        methods: t.list(
            "methods",
            "expected a method in capitals, such as \"GET\"",
            method,
        ),
        class: t
            .choice("class", None, &CLASSES)
            .unwrap_or(RequestClass::Once),
        priority: t.whole("priority", 5, 0..10) as u8,
        deadline: t.span("deadline", DEFAULT_DEADLINE),
    };
    if !route.path.starts_with('/') {
        t.fault("path", "expected a path that starts with a slash");
    }
    t.finish();
    route
}

fn load(t: &Fields<'_>) -> ProbeBudget {
    let default = ProbeBudget::default();
    let load = ProbeBudget {
        probes: t.number("probes", default.probes, 0.0..1000.0),
        bytes: t.number("bytes", default.bytes, 0.0..1e6),
        entries: t.whole("entries", u64::from(default.entries), 1..10_000) as u32,
    };
    t.finish();
    load
}

fn retry(t: &Fields<'_>) -> RetryLimits {
    let default = RetryLimits::default();
    let retry = RetryLimits {
        ratio: t.number("ratio", default.ratio, 0.0..1.0),
        burst: t.number("burst", default.burst, 0.0..10_000.0),
        hedge: t.number("hedge", default.hedge, 0.0..1.0),
    };
    t.finish();
    retry
}

fn eject(t: &Fields<'_>) -> EjectLimits {
    let default = EjectLimits::default();
    let eject = EjectLimits {
        failures: t.whole("failures", u64::from(default.failures), 1..1000) as u32,
        share: t.number("share", default.share, 0.0..1.0),
        probation: t.span("probation", default.probation),
    };
    t.finish();
    eject
}

fn unique<'a>(
    t: &Fields<'_>,
    key: &'static str,
    names: impl Iterator<Item = &'a Name>,
    reason: &str,
) {
    let mut seen = Set::default();
    for name in names.filter(|name| !seen.insert((*name).clone())) {
        t.fault(key, format!("{reason}: {name}"));
    }
}

fn text(value: &toml_edit::Value) -> Option<Name> {
    value
        .as_str()
        .filter(|text| !text.is_empty())
        .map(Name::from)
}

fn method(value: &toml_edit::Value) -> Option<Name> {
    let is_method = |text: &&str| !text.is_empty() && text.chars().all(|c| c.is_ascii_uppercase());
    value.as_str().filter(is_method).map(Name::from)
}

fn status(value: &toml_edit::Value) -> Option<u16> {
    let status = u16::try_from(value.as_integer()?).ok()?;
    Some(status).filter(|s| (400..600).contains(s))
}

fn syntax(source: &str, error: &toml_edit::TomlError) -> TicketError {
    let span = error.span().unwrap_or(0..0);
    let line = source[..span.start.min(source.len())].matches('\n').count() + 1;
    let value = source
        .lines()
        .nth(line - 1)
        .unwrap_or_default()
        .trim()
        .to_owned();
    let reason = error.message().to_owned();
    TicketError {
        errors: vec![FieldError {
            line,
            field: "file".to_owned(),
            value,
            reason,
        }],
    }
}
