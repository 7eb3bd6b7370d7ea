use std::fmt::Write;

use lentilcart_state::{AppliedState, Service};
use lentilcart_util::{DurationText, Name};

const EXAMPLE: &str = "\
tenant = \"\"  # firm that the service belongs to

[[service.route]]
path = \"/\"
class = \"once\"  # idempotent or once
deadline = \"1s\"

[[service.server]]
address = \"10.0.0.1:8080\"
data_center = \"\"
slots = 3
";

/// Returns a ticket file with the state in force of some services.
pub(super) fn template(state: &AppliedState, names: &[String]) -> String {
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

fn write_service(out: &mut String, s: &Service) {
    let (ramp, keep) = (
        DurationText::format(s.slow_start),
        DurationText::format(s.key_retention),
    );
    let mut head = |line: String| *out += &(line + "\n");
    head(format!("tenant = {:?}", s.tenant));
    head(format!("policy = {:?}", s.policy));
    head(format!("homes = {}", s.owners));
    head(format!("overcommit = {}", s.overcommit));
    head(format!("connections = {}", s.connections));
    head(format!("wait = {:?}", s.wait_share));
    head(format!("ramp = {ramp:?}"));
    head(format!("keep = {keep:?}"));
    head(format!("not_run = {:?}", s.not_run));
    let (load, retry, eject) = (s.probe_budget, s.retry, s.ejection);
    head(format!(
        "load = {{ probes = {:?}, bytes = {:?}, entries = {} }}",
        load.probes, load.bytes, load.entries
    ));
    head(format!(
        "retry = {{ ratio = {:?}, burst = {:?}, hedge = {:?} }}",
        retry.ratio, retry.burst, retry.hedge
    ));
    head(format!(
        "eject = {{ failures = {}, share = {:?}, probation = {:?} }}",
        eject.failures,
        eject.share,
        DurationText::format(eject.probation)
    ));
    for route in &s.routes {
        head(format!(
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
        head(format!(
            "\n[[service.server]]\naddress = \"{}\"\ndata_center = {:?}\nslots = {}",
            server.address, server.data_center, server.slots
        ));
    }
}
