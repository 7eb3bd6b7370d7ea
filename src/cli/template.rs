use std::fmt::Write;

use lentilcart_state::{AppliedState, Service};
use lentilcart_util::{DurationText, Name};

/// Fields of a service that does not exist yet.
const EXAMPLE: &str = "\
tenant = \"\"  # client account that the service belongs to

[[service.route]]
path = \"/\"
class = \"once\"  # idempotent or once
deadline = \"1s\"

[[service.server]]
address = \"10.0.0.1:8080\"
data_center = \"\"
slots = 3
";

/// Returns the text of a ticket file with the state in force of the named services; a service that
/// does not exist yet has example fields.
pub(super) fn render_template(state: &AppliedState, names: &[String]) -> String {
    let mut text = format!("base = {}\nnote = \"\"\n", state.number);
    for name in names {
        write!(text, "\n[[service]]\nname = {name:?}\n").ok();
        match state.services.get(name.as_str()) {
            Some((_, service)) => write_service(&mut text, service),
            None => text += EXAMPLE,
        }
    }
    text
}

/// Appends the fields, routes and servers of a service.
fn write_service(out: &mut String, s: &Service) {
    let (slow_start, key_retention) = (
        DurationText::format(s.slow_start),
        DurationText::format(s.key_retention),
    );
    let mut write_line = |line: String| *out += &(line + "\n");
    write_line(format!("tenant = {:?}", s.tenant));
    write_line(format!("policy = {:?}", s.policy));
    write_line(format!("homes = {}", s.owners));
    write_line(format!("overcommit = {}", s.overcommit));
    write_line(format!("connections = {}", s.connections));
    write_line(format!("wait = {:?}", s.wait_share));
    write_line(format!("ramp = {slow_start:?}"));
    write_line(format!("keep = {key_retention:?}"));
    write_line(format!("not_run = {:?}", s.not_run));
    let (budget, retry, ejection) = (s.probe_budget, s.retry, s.ejection);
    write_line(format!(
        "load = {{ probes = {:?}, bytes = {:?}, entries = {} }}",
        budget.probes, budget.bytes, budget.entries
    ));
    write_line(format!(
        "retry = {{ ratio = {:?}, burst = {:?}, hedge = {:?} }}",
        retry.ratio, retry.burst, retry.hedge
    ));
    write_line(format!(
        "eject = {{ failures = {}, share = {:?}, probation = {:?} }}",
        ejection.failures,
        ejection.share,
        DurationText::format(ejection.probation)
    ));
    for route in &s.routes {
        write_line(format!(
            "\n[[service.route]]\nhost = {:?}\npath = {:?}\nmethods = {:?}\nclass = \"{}\"\n\
             priority = {}\ndeadline = {:?}",
            route.host,
            route.path,
            route.methods.iter().map(Name::as_str).collect::<Vec<_>>(),
            route.class,
            route.priority,
            DurationText::format(route.deadline)
        ));
    }
    for server in &s.servers {
        write_line(format!(
            "\n[[service.server]]\naddress = \"{}\"\ndata_center = {:?}\nslots = {}",
            server.address, server.data_center, server.slots
        ));
    }
}
