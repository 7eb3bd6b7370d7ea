use std::net::SocketAddr;

use lentilcart_util::{Micros, Name, Set};
use toml_edit::Document;

use super::reader::{ErrorCollector, TableReader};
use crate::error::{FieldError, TicketFileError};
use crate::ticket::{
    EjectLimits, ProbeBudget, RequestClass, RetryLimits, Route, Server, Service, Ticket,
};

/// Default of a route's `deadline`.
const DEFAULT_DEADLINE: Micros = Micros::from_millis(1000);
/// Default of a service's `ramp`, its slow start.
const DEFAULT_SLOW_START: Micros = Micros::from_millis(2000);
/// Default of a service's `keep`, the time for which idempotency keys are kept: 10 minutes.
const DEFAULT_KEY_RETENTION: Micros = Micros::from_millis(600_000);
/// Default of a service's `overcommit`, the requests that a server may be sent beyond its slots.
const DEFAULT_OVERCOMMIT: u64 = 2;
/// Default of a service's `wait`, the longest wait in a queue as a share of the deadline.
const DEFAULT_WAIT_SHARE: f64 = 0.5;
/// Request classes by their names in ticket files.
const CLASSES: [(&str, RequestClass); 2] = [
    ("idempotent", RequestClass::Idempotent),
    ("once", RequestClass::Once),
];

/// Parses a ticket from the text of a TOML file and validates it as a whole.
///
/// `policies` holds the names of the load balancing policies that a service may choose, at least
/// one; the first is the default.
///
/// # Errors
///
/// Fails with the syntax error of the file or else with all invalid fields, each with its line,
/// field and value.
///
/// # Panics
///
/// Panics where `policies` is empty and the ticket has a service.
///
/// # Examples
///
/// ```
/// let error = lentilcart_state::parse_ticket("base = -1", &["late"]).unwrap_err();
/// assert_eq!(error.errors[0].field, "base");
/// ```
pub fn parse_ticket(source: &str, policies: &[&'static str]) -> Result<Ticket, TicketFileError> {
    let document = Document::parse(source).map_err(|e| get_syntax_error(source, &e))?;
    let collector = ErrorCollector::new(source);
    let root = collector.get_root(document.as_table());
    let ticket = Ticket {
        base: root.read_integer("base", 0, 0..u64::MAX),
        note: root.read_text_or("note", "").to_string(),
        services: root
            .read_tables("service", "name")
            .iter()
            .map(|t| read_service(t, policies))
            .collect(),
        removed: root.read_list(
            "removed",
            "expected an array of names of services",
            parse_text,
        ),
    };
    if ticket.services.is_empty() && ticket.removed.is_empty() {
        root.report("service", "the ticket neither sets nor removes a service");
    }
    check_unique(
        &root,
        "removed",
        ticket.get_service_names(),
        "the service is listed twice in the ticket",
    );
    root.report_unknown_fields();
    drop(root);
    match collector.into_errors() {
        errors if errors.is_empty() => Ok(ticket),
        errors => Err(TicketFileError { errors }),
    }
}

fn read_service(t: &TableReader<'_>, policies: &[&'static str]) -> Service {
    let choices: Vec<_> = policies.iter().map(|name| (*name, *name)).collect();
    let service = Service {
        name: t.read_text("name"),
        tenant: t.read_text("tenant"),
        policy: t
            .read_choice("policy", Some(policies[0]), &choices)
            .unwrap_or_default()
            .into(),
        owners: t.read_integer("homes", 1, 0..1000) as u32,
        overcommit: t.read_integer("overcommit", DEFAULT_OVERCOMMIT, 0..1000) as u32,
        connections: t.read_integer("connections", 200, 1..100_000) as u32,
        wait_share: t.read_number("wait", DEFAULT_WAIT_SHARE, 0.0..1.0),
        slow_start: t.read_duration("ramp", DEFAULT_SLOW_START),
        key_retention: t.read_duration("keep", DEFAULT_KEY_RETENTION),
        not_run: t.read_list(
            "not_run",
            "expected an array of statuses from 400 to 599",
            parse_status,
        ),
        probe_budget: read_probe_budget(&t.read_table("load")),
        retry: read_retry_limits(&t.read_table("retry")),
        ejection: read_eject_limits(&t.read_table("eject")),
        routes: t
            .read_tables("route", "path")
            .iter()
            .map(read_route)
            .collect(),
        servers: read_servers(t),
    };
    if service.name.is_empty() || service.name.contains(['/', ' ']) {
        t.report(
            "name",
            "expected a non-empty name without spaces or slashes",
        );
    }
    if service.routes.is_empty() {
        t.report("route", "a service needs at least one route");
    }
    let once_routes = service
        .routes
        .iter()
        .filter(|r| r.class == RequestClass::Once);
    let longest_deadline = once_routes.map(|r| r.deadline).max().unwrap_or_default();
    if service.key_retention < longest_deadline + longest_deadline {
        t.report(
            "keep",
            "expected at least twice the longest deadline of the routes with class \"once\"",
        );
    }
    if service.owners == 0 && service.connections < service.probe_budget.entries {
        t.report(
            "connections",
            "with homes = 0, expected at least as many connections as load.entries, the entries that share them",
        );
    }
    t.report_unknown_fields();
    service
}

fn read_servers(t: &TableReader<'_>) -> Vec<Server> {
    let mut seen: Set<SocketAddr> = Set::default();
    let mut servers = Vec::new();
    for table in t.read_tables("server", "address") {
        let server = Server {
            address: read_address(&table),
            data_center: table.read_text("data_center"),
            slots: table.read_integer("slots", 3, 1..100_000) as u32,
        };
        table.report_unknown_fields();
        if !seen.insert(server.address) {
            table.report("address", "the server is listed twice in the service");
        }
        servers.push(server);
    }
    servers
}

/// Reads a required IP address and port; reports an error and returns 0.0.0.0:0 where it is
/// invalid.
fn read_address(t: &TableReader<'_>) -> SocketAddr {
    let text = t.read_text("address");
    text.parse().unwrap_or_else(|_| {
        if !text.is_empty() {
            t.report(
                "address",
                "expected an IP address and a port, such as \"10.0.0.7:8080\"",
            );
        }
        SocketAddr::from(([0, 0, 0, 0], 0))
    })
}

fn read_route(t: &TableReader<'_>) -> Route {
    let route = Route {
        host: t.read_text_or("host", ""),
        path: t.read_text_or("path", "/"),
        methods: t.read_list(
            "methods",
            "expected an array of methods in capitals, such as [\"GET\"]",
            parse_method,
        ),
        class: t
            .read_choice("class", None, &CLASSES)
            .unwrap_or(RequestClass::Once),
        priority: t.read_integer("priority", 5, 0..10) as u8,
        deadline: t.read_duration("deadline", DEFAULT_DEADLINE),
    };
    if !route.path.starts_with('/') {
        t.report("path", "expected a path that starts with a slash");
    }
    t.report_unknown_fields();
    route
}

fn read_probe_budget(t: &TableReader<'_>) -> ProbeBudget {
    let default = ProbeBudget::default();
    let budget = ProbeBudget {
        probes: t.read_number("probes", default.probes, 0.0..1000.0),
        bytes: t.read_number("bytes", default.bytes, 0.0..1e6),
        entries: t.read_integer("entries", u64::from(default.entries), 1..10_000) as u32,
    };
    t.report_unknown_fields();
    budget
}

fn read_retry_limits(t: &TableReader<'_>) -> RetryLimits {
    let default = RetryLimits::default();
    let limits = RetryLimits {
        ratio: t.read_number("ratio", default.ratio, 0.0..1.0),
        burst: t.read_number("burst", default.burst, 0.0..10_000.0),
        hedge: t.read_number("hedge", default.hedge, 0.0..1.0),
    };
    t.report_unknown_fields();
    limits
}

fn read_eject_limits(t: &TableReader<'_>) -> EjectLimits {
    let default = EjectLimits::default();
    let limits = EjectLimits {
        failures: t.read_integer("failures", u64::from(default.failures), 1..1000) as u32,
        share: t.read_number("share", default.share, 0.0..1.0),
        probation: t.read_duration("probation", default.probation),
    };
    t.report_unknown_fields();
    limits
}

/// Reports each name that occurs more than once as an error of a field.
fn check_unique<'a>(
    t: &TableReader<'_>,
    key: &'static str,
    names: impl Iterator<Item = &'a Name>,
    reason: &str,
) {
    let mut seen = Set::default();
    for name in names.filter(|name| !seen.insert((*name).clone())) {
        t.report(key, format!("{reason}: {name}"));
    }
}

fn parse_text(value: &toml_edit::Value) -> Option<Name> {
    value
        .as_str()
        .filter(|text| !text.is_empty())
        .map(Name::from)
}

fn parse_method(value: &toml_edit::Value) -> Option<Name> {
    let is_method = |text: &&str| !text.is_empty() && text.chars().all(|c| c.is_ascii_uppercase());
    value.as_str().filter(is_method).map(Name::from)
}

fn parse_status(value: &toml_edit::Value) -> Option<u16> {
    let status = u16::try_from(value.as_integer()?).ok()?;
    Some(status).filter(|s| (400..600).contains(s))
}

/// Returns the error of a file that is no valid TOML.
fn get_syntax_error(source: &str, error: &toml_edit::TomlError) -> TicketFileError {
    let span = error.span().unwrap_or(0..0);
    let line = source[..span.start.min(source.len())].matches('\n').count() + 1;
    let value = source
        .lines()
        .nth(line - 1)
        .unwrap_or_default()
        .trim()
        .to_owned();
    let reason = error.message().to_owned();
    TicketFileError {
        errors: vec![FieldError {
            line,
            field: "file".to_owned(),
            value,
            reason,
        }],
    }
}
