use std::sync::Arc;
use std::sync::atomic::AtomicU32;

use lentilcart_state::{PathRoute, RequestClass, RouteTable, WeightedService};
use lentilcart_util::{Map, Micros, Name};

fn route(prefix: &str, weights: &[f64]) -> PathRoute {
    let services = weights
        .iter()
        .enumerate()
        .map(|(number, weight)| WeightedService {
            service: format!("s{number}").into(),
            weight: *weight,
        });
    PathRoute {
        name: prefix.into(),
        prefix: prefix.into(),
        class: RequestClass::Idempotent,
        timeout: Micros::from_millis(1000),
        latency_objective: Micros::from_millis(200),
        rank: 0,
        public: false,
        max_attempts: 2,
        services: services.collect(),
        pick_count: AtomicU32::new(0),
    }
}

fn table(prefixes: &[&str]) -> RouteTable {
    let routes = prefixes
        .iter()
        .map(|p| (Name::from(*p), Arc::new(route(p, &[1.0]))));
    let mut hosts = Map::default();
    hosts.insert(Name::from("shop.example"), routes.collect());
    RouteTable {
        version: 1,
        hosts,
        ..RouteTable::default()
    }
}

#[test]
fn find_route_longest_prefix() {
    let table = table(&["/", "/a/", "/a/b/"]);
    let find = |path| {
        table
            .find_route("shop.example", path)
            .map(|route| route.prefix.to_string())
    };
    assert_eq!(find("/a/b/c").as_deref(), Some("/a/b/"));
    assert_eq!(find("/a/bc").as_deref(), Some("/a/"));
    assert_eq!(find("/ab").as_deref(), Some("/"));
    assert_eq!(find("*"), None);
}

#[test]
fn find_route_ignores_port_and_case() {
    let table = table(&["/"]);
    assert!(table.find_route("Shop.Example:8080", "/x").is_some());
    assert!(table.find_route("other.example", "/x").is_none());
}

#[test]
fn pick_service_by_weight() {
    for weights in [[90.0, 10.0], [1.0, 1.0], [0.0, 5.0], [7.0, 0.0]] {
        let route = route("/", &weights);
        let count = 300;
        let first = (0..count)
            .filter(|_| &**route.pick_service() == "s0")
            .count();
        let expected = weights[0] / (weights[0] + weights[1]);
        let share = first as f64 / f64::from(count);
        assert!((share - expected).abs() < 0.02, "{weights:?} {share}");
    }
}

/// Guards against many entries with few requests each that all begin with the same service, so that a part of the
/// weight 0.75 gets nearly all requests of its route.
#[test]
fn pick_service_by_weight_across_entries() {
    const ENTRIES: usize = 210;
    const REQUESTS: usize = 2;
    for version in 1..20 {
        let picks = (0..ENTRIES).flat_map(|entry| {
            let route = Arc::new(route("/", &[3.0, 1.0]));
            let routes = [(Name::from("/"), route.clone())].into_iter().collect();
            let table = RouteTable {
                version,
                hosts: [(Name::from("shop.example"), routes)].into_iter().collect(),
                ..RouteTable::default()
            };
            table.spread_picks(&format!("entry-{entry}"));
            (0..REQUESTS).map(move |_| route.pick_service().clone())
        });
        let first = picks.filter(|service| &**service == "s0").count();
        let share = first as f64 / (ENTRIES * REQUESTS) as f64;
        assert!((share - 0.75).abs() < 0.1, "version {version}: {share}");
    }
}
