use lentilcart_bench::cluster::{Cluster, Layout, TRAVIESAS, format_ticket, get_firm};
use lentilcart_bench::scenario::get_variant;
use lentilcart_util::Micros;

/// Deadline of every route in the tickets.
pub const DEADLINE: Micros = Micros::from_millis(10_000);

/// Returns a small layout of Traviesas: 16 servers, without network latency between hosts.
pub fn small_layout() -> Layout {
    let mut layout = Layout::new(get_firm("traviesas").unwrap_or(TRAVIESAS));
    layout.has_latency = false;
    layout.flags = vec!["--lame-duck".to_owned(), "200ms".to_owned()];
    for (service, servers) in layout.firm.services.iter_mut().zip([8, 4, 4]) {
        service.servers = servers;
    }
    layout
}

/// Returns the text of a ticket of a variant.
pub fn format_variant_ticket(layout: &Layout, variant: &str, base: u64) -> String {
    format_ticket(layout, &get_variant(variant).unwrap(), base, DEADLINE)
}

/// Starts a deployment with the first ticket in force at every entry.
pub async fn start_cluster(layout: Layout, variant: &str) -> Cluster {
    let cluster = Cluster::start(layout).await;
    let text = format_variant_ticket(&cluster.layout, variant, 0);
    let output = cluster.submit(&text).await;
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    cluster
}
