use std::fmt::Write;

use lentilcart_util::{DurationText, Micros};

use super::cluster::Layout;

/// A routing configuration that the bench compares with others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Variant {
    /// Name in reports.
    pub name: &'static str,
    /// Name of the policy in the ticket.
    pub policy: &'static str,
    /// Number of entries that own a service and dispatch its requests; 0 for all.
    pub owners: u32,
    /// Requests that a server may be given beyond its slots.
    pub overcommit: u32,
    /// Connections to each server from all entries together; with too few, owners
    /// forward requests.
    pub connections: u32,
    /// Highest share of requests that may be hedged, from 0 to 1.
    pub hedge_share: f64,
    /// Interval of the heartbeats, which carry load digests: the counts of outstanding requests
    /// that entries exchange.
    pub heartbeat: Micros,
}

/// Returns the text of a ticket that configures every service of a layout.
///
/// `base` is the number of the latest accepted ticket that this one builds on, 0 for none.
#[must_use]
pub fn format_ticket(layout: &Layout, variant: &Variant, base: u64, deadline: Micros) -> String {
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
            variant.owners,
            variant.overcommit,
            variant.connections,
            layout.entries.max(8),
            variant.hedge_share,
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
        for (number, address) in layout.get_server_addresses(index).into_iter().enumerate() {
            let data_center = firm.data_centers[layout.get_data_center(number)];
            write!(
                text,
                "[[service.server]]\naddress = \"{address}\"\ndata_center = \"{data_center}\"\nslots = 3\n"
            )
            .ok();
        }
    }
    text
}
