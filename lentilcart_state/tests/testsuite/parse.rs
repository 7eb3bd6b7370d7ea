use expect_test::{Expect, expect};
use lentilcart_state::parse_ticket;

fn check(source: &str, expected: &Expect) {
    let text = match parse_ticket(source, &["late", "random"]) {
        Ok(ticket) => format!("{} services\n", ticket.services.len()),
        Err(error) => format!("{error}\n"),
    };
    expected.assert_eq(&text);
}

#[test]
fn parse_reports_all_errors() {
    let source = r#"base = -1
colour = "red"

[[service]]
name = "catalogue"
tenant = "traviesas"
policy = "best"
homes = "one"
wait = 1.5
not_run = [200, 503]
load = { probes = 10, entries = 0 }
eject = { probation = "2 parsecs" }

[[service.route]]
path = "catalogue"
class = "sometimes"
deadline = 250
methods = ["get"]

[[service.server]]
address = "10.0.0.1"
data_center = "bilbao"

[[service.server]]
address = "10.0.0.1:80"
data_center = "bilbao"
slots = 0

[[service.server]]
address = "10.0.0.1:80"
"#;
    check(
        source,
        &expect![[r#"
        line 1: base = -1: expected a whole number from 0 to 18446744073709551614
        line 2: colour = colour: unknown field; expected one of base, note, removed, service
        line 7: service[catalogue].policy = "best": expected one of late, random
        line 8: service[catalogue].homes = "one": expected a whole number from 0 to 999
        line 9: service[catalogue].wait = 1.5: expected a number from 0 to 1
        line 10: service[catalogue].not_run = 200: expected an array of statuses from 400 to 599
        line 11: service[catalogue].load.entries = 0: expected a whole number from 1 to 9999
        line 12: service[catalogue].eject.probation = "2 parsecs": expected a time above zero with its unit, such as "250ms" or "2s"
        line 15: service[catalogue].route[catalogue].path = "catalogue": expected a path that starts with a slash
        line 16: service[catalogue].route[catalogue].class = "sometimes": expected one of idempotent, once
        line 17: service[catalogue].route[catalogue].deadline = 250: expected a time above zero with its unit, such as "250ms" or "2s"
        line 18: service[catalogue].route[catalogue].methods = "get": expected an array of methods in capitals, such as ["GET"]
        line 21: service[catalogue].server[10.0.0.1].address = "10.0.0.1": expected an IP address and a port, such as "10.0.0.7:8080"
        line 27: service[catalogue].server[10.0.0.1:80].slots = 0: expected a whole number from 1 to 99999
        line 29: service[catalogue].server[10.0.0.1:80].data_center: missing required field
        line 30: service[catalogue].server[10.0.0.1:80].address = "10.0.0.1:80": the server is listed twice in the service
    "#]],
    );
}

#[test]
fn parse_reports_syntax_error() {
    check(
        "base = 1\nnote = \"open\n",
        &expect![[r#"
        line 2: file = note = "open: invalid basic string, expected `"`
    "#]],
    );
}

#[test]
fn parse_rejects_empty_ticket() {
    check(
        "base = 1\n",
        &expect![[r"
        line 1: service: the ticket neither sets nor removes a service
    "]],
    );
}

#[test]
fn parse_minimal_ticket() {
    let source = "[[service]]\nname = \"a\"\ntenant = \"t\"\nroute = [{ class = \"once\" }]\n";
    check(
        source,
        &expect![[r"
        1 services
    "]],
    );
}
