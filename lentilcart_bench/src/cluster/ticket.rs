use std::fmt::Write;

use lentilcart_util::{DurationText, Micros};

use super::cluster::Layout;

/// A way to route that is measured against others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Variant {
    /// Name in reports.
    pub name: &'static str,
    /// Policy in the ticket.
    pub policy: &'static str,
    /// Entries that dispatch for a service; 0 for all.
    pub homes: u32,
    /// Requests beyond its slots that a server may be given.
    pub overcommit: u32,
    /// Connections to each server, all entries together; too few make homes forward.
    pub connections: u32,
    /// Largest share of requests that may be hedged.
    pub hedge: f64,
    /// Time between heartbeats, which carry the digests.
    pub beat: Micros,
}

/// Returns the text of a ticket that sets every service of a layout.
#[must_use]
pub fn ticket(layout: &Layout, variant: &Variant, base: u64, deadline: Micros) -> String {
    let firm = &layout.firm;
    let mut text = format!(
        "base = {base}\nnote = \"{} by {}\"\n",
        firm.name, variant.name
    );
    for (index, service) in firm.services.iter().enumerate() {
        write!(
            text,
            "\n[[service]]\nname = \"{}\"\ntenant = \"{}\"\npolicy = \"{}\"\nhomes = {}\n\
             overcommit = {}\nconnections = {}\nnot_run = [503]\nramp = \"2s\"\nkeep = \"10m\"\n\
             load = {{ probes = 50, bytes = 20000, entries = {} }}\n\
             retry = {{ hedge = {:?} }}\n",
            service.name,
            firm.name,
            variant.policy,
            variant.homes,
            variant.overcommit,
            variant.connections,
            layout.entries.max(8),
            variant.hedge,
        )
        .ok();
        write!(
            text,
            "[[service.route]]\npath = \"/{}\"\nclass = \"{}\"\npriority = {}\ndeadline = \"{}\"\n",
            service.name,
            service.class,
            service.priority,
            DurationText::format(deadline),
        )
        .ok();
        for (number, address) in layout.get_servers(index).into_iter().enumerate() {
            let center = firm.centers[layout.get_center(number)];
            write!(
                text,
                "[[service.server]]\naddress = \"{address}\"\ndata_center = \"{center}\"\nslots = 3\n"
            )
            .ok();
        }
    }
    text
}
