use lentilcart_bench::cluster::{Cluster, Layout, TRAVIESAS, get_firm, ticket};
use lentilcart_bench::scenario::get_variant;
use lentilcart_util::Micros;

pub const DEADLINE: Micros = Micros::from_millis(10_000);

/// Returns a small layout of Traviesas: 16 servers without latency between hosts.
pub fn small_layout() -> Layout {
    let mut layout = Layout::new(get_firm("traviesas").unwrap_or(TRAVIESAS));
    layout.latency = false;
    layout.flags = vec!["--lame-duck".to_owned(), "200ms".to_owned()];
    for (service, servers) in layout.firm.services.iter_mut().zip([8, 4, 4]) {
        service.servers = servers;
    }
    layout
}

pub fn ticket_of(layout: &Layout, variant: &str, base: u64) -> String {
    ticket(layout, &get_variant(variant).unwrap(), base, DEADLINE)
}

/// Starts a deployment with the first ticket in force everywhere.
pub async fn start(layout: Layout, variant: &str) -> Cluster {
    let cluster = Cluster::start(layout).await;
    let text = ticket_of(&cluster.layout, variant, 0);
    let output = cluster.submit(&text).await;
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    cluster
}
