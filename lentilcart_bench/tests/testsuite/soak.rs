//! Soaks of entries as separate processes, and their checks. `cargo build --workspace` builds the daemon.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicUsize, Ordering};

use lentilcart_bench::cluster::binary_path;
use lentilcart_bench::soak::{
    Arrival, ColdArrival, Outcome, RouteVersion, Run, SentRequest, SoakEvacuation, SoakOptions,
    SoakReport, SoakSize, find_cold_faults, find_evacuation_faults, find_faults, parse_faults,
    run_soak,
};
use tokio::sync::Mutex;

fn build_request(outcome: Outcome) -> SentRequest {
    SentRequest {
        id: "r1".into(),
        kind: "pay",
        is_once: true,
        entry: 0,
        local: None,
        is_kept: false,
        sent: 1000,
        ended: 1100,
        outcome,
    }
}

fn build_run(server: &str, answer: &'static str) -> Run {
    Run {
        request: "r1".into(),
        server: server.into(),
        service: "pay",
        address: "127.0.0.1:1".parse().unwrap(),
        connection: 1,
        caller: "127.0.0.1:2".parse().unwrap(),
        start: 1010,
        end: Some(1090),
        answer,
    }
}

/// Returns the rules that one request breaks, as a text.
fn find_rules(request: &SentRequest, runs: &[Run], is_planned_end: bool) -> String {
    find_rules_of(
        request,
        runs,
        &[build_version(0, Some("pay"))],
        true,
        is_planned_end,
    )
}

/// Returns a version in which the requests of `pay` go to a service, or have no route.
fn build_version(sent: u64, service: Option<&'static str>) -> RouteVersion {
    let services = service
        .map(|service| ("pay", service))
        .into_iter()
        .collect();
    RouteVersion { sent, services }
}

fn find_rules_of(
    request: &SentRequest,
    runs: &[Run],
    versions: &[RouteVersion],
    is_in_touch: bool,
    is_planned_end: bool,
) -> String {
    let requests = std::slice::from_ref(request);
    let faults = find_faults(
        requests,
        runs,
        versions,
        |_| is_in_touch,
        |_| is_planned_end,
    );
    let rules: BTreeSet<_> = faults.iter().map(|fault| fault.rule).collect();
    rules.into_iter().collect::<Vec<_>>().join(" ")
}

/// Guards against a soak that passes though a request ran twice, or ran and was refused.
#[test]
fn find_faults_run_twice_or_refused() {
    let (once, twice) = (
        vec![build_run("i-1", "whole")],
        vec![build_run("i-1", "whole"), build_run("i-1", "lost")],
    );
    let cases = [
        (200, &once, ""),
        (200, &twice, "TWICE"),
        (502, &once, ""),
        (503, &once, "REFUSED"),
        (408, &once, "REFUSED"),
        (421, &once, "REFUSED"),
        (429, &twice, "REFUSED TWICE"),
        (503, &Vec::new(), ""),
    ];
    for (status, runs, expected) in cases {
        let mut request = build_request(Outcome::Answered(status, None));
        assert_eq!(find_rules(&request, runs, false), expected, "{status}");
        request.is_once = false;
        assert_eq!(find_rules(&request, runs, false), "", "{status}");
    }
}

/// Guards against a soak that passes though a request ran at a service that no route has named, or was handled
/// as only an older version of the routes allows.
#[test]
fn find_faults_wrong_or_old_route() {
    let versions = [
        build_version(0, Some("pay")),
        build_version(5000, Some("lookup")),
        build_version(10_000, None),
    ];
    let cases = [
        (3000, Some("pay"), ""),
        (3000, Some("lookup"), "ROUTE"),
        (3000, None, "CONFIG"),
        (6000, Some("pay"), ""),
        (6000, Some("lookup"), ""),
        (7500, Some("pay"), "CONFIG"),
        (7500, Some("reserve"), "ROUTE"),
        (7500, None, "CONFIG"),
        (10_500, None, ""),
        (10_500, Some("lookup"), ""),
        (12_500, Some("lookup"), "CONFIG"),
        (12_500, None, ""),
    ];
    for (sent, service, expected) in cases {
        let status = if service.is_some() { 200 } else { 404 };
        let request = SentRequest {
            sent,
            ended: sent + 100,
            ..build_request(Outcome::Answered(status, None))
        };
        let run = service.map(|service| Run {
            service,
            start: sent + 10,
            ..build_run("i-1", "whole")
        });
        let rules =
            |is_in_touch| find_rules_of(&request, run.as_slice(), &versions, is_in_touch, false);
        assert_eq!(rules(true), expected, "{sent} {service:?}");
        let without_touch = expected.replace("CONFIG", "");
        assert_eq!(rules(false), without_touch.trim(), "{sent} {service:?}");
    }
}

/// Guards against a soak that passes though a client got an answer that no server gave to its request.
#[test]
fn find_faults_mixed_up_answer() {
    let mixed = build_request(Outcome::Answered(200, Some("it is not signed".to_owned())));
    let whole = build_request(Outcome::Answered(200, None));
    assert_eq!(
        find_rules(&mixed, &[build_run("i-1", "whole")], false),
        "MIXED"
    );
    assert_eq!(find_rules(&whole, &[build_run("i-1", "whole")], false), "");
    assert_eq!(
        find_rules(&whole, &[build_run("i-1", "cut")], false),
        "MIXED"
    );
    assert_eq!(find_rules(&whole, &[], false), "MIXED");
}

/// Guards against a soak that passes though a planned stop of an entry cut a request off, and against one
/// that blames an entry for a server that broke off.
#[test]
fn find_faults_lost_at_stop() {
    let cut = build_request(Outcome::Cut("closed before an answer".to_owned()));
    let late = SentRequest {
        ended: 1300,
        ..cut.clone()
    };
    let (whole, left) = (
        [build_run("i-1", "whole")],
        [build_run("i-1", "none, the caller left")],
    );
    assert_eq!(find_rules(&cut, &whole, true), "LOST");
    assert_eq!(find_rules(&cut, &left, true), "LOST");
    assert_eq!(find_rules(&cut, &whole, false), "");
    assert_eq!(find_rules(&cut, &[build_run("i-1", "lost")], true), "");
    assert_eq!(find_rules(&cut, &[], true), "");
    assert_eq!(find_rules(&late, &[], true), "LOST");
}

/// Guards against a soak that passes though a cold server got too many requests in a span of a second that is not a
/// calendar second, and against one that adds up servers or longer spans.
#[test]
fn find_cold_faults_by_server_and_second() {
    let arrival = |server: &str, at| ColdArrival {
        server: server.into(),
        request: "r1".into(),
        at,
    };
    let bunched: Vec<_> = (0..15)
        .map(|number| arrival("i-1", 600 + number * 60))
        .collect();
    assert_eq!(find_cold_faults(&bunched, 14.9)[0].rule, "COLD");
    assert_eq!(find_cold_faults(&bunched, 15.0), []);
    let spread = (0..30).map(|number| arrival(["i-1", "i-2"][number % 2], number as u64 * 35));
    let spread: Vec<_> = spread.collect();
    assert_eq!(find_cold_faults(&spread, 15.0), []);
}

/// Guards against cold servers that get more requests than their limit from entries as processes of their own, while
/// servers restart cold, or become cold while they run, and entries are stopped, killed and paused.
#[tokio::test(flavor = "multi_thread")]
async fn soak_cold_servers_get_few_requests() {
    let report = play("cold,entry-term,entry-kill,entry-stop", 14, 1.0, 4.0).await;
    assert!(report.faults.is_empty(), "{}", report.stories);
    for played in ["cold-start", "cold-again", "reached a cold server"] {
        assert!(report.played.contains_key(played), "{played}: {report:?}");
    }
}

/// Returns the number of the next soak of this process, for the name of its folder.
fn take_number() -> usize {
    static NEXT: AtomicUsize = AtomicUsize::new(0);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// Plays a soak of three entries and small services.
async fn play(faults: &str, seconds: u64, load: f64, pace: f64) -> SoakReport {
    // Soaks of one process use the same addresses.
    static TURN: Mutex<()> = Mutex::const_new(());
    let _turn = TURN.lock().await;
    let folder = format!("lentilcart-soak-{}-{}", std::process::id(), take_number());
    let options = SoakOptions {
        seed: 1,
        seconds,
        size: SoakSize::Small,
        entries: Some(3),
        servers: Some(if load < 1.0 { 4 } else { 12 }),
        load: Some(load),
        pace,
        program: binary_path("lentilcartd"),
        program_share: 1.0,
        faults: parse_faults(faults).unwrap(),
        logs: std::env::temp_dir().join(folder),
    };
    let report = run_soak(&options, std::future::pending()).await.unwrap();
    std::fs::remove_dir_all(&options.logs).unwrap();
    report
}

/// Guards against a request that runs twice, a false promise, another request's answer or a lost request,
/// with entries as processes of their own that are stopped and started, before servers that break the
/// protocol and restart, while routes change; and against a server that is started while it runs, as two faults
/// of it overlap.
#[tokio::test(flavor = "multi_thread")]
async fn soak_faulty_servers_and_stops_keep_promises() {
    let report = play("faulty-servers,entry-term,entry-hup,route", 10, 0.4, 4.0).await;
    assert!(report.faults.is_empty(), "{}", report.stories);
    assert!(report.served > 0, "{report:?}");
    for played in [
        "server-end",
        "server-move",
        "entry-term",
        "route-move",
        "copy-ok",
    ] {
        assert!(report.played.contains_key(played), "{played}: {report:?}");
    }
}

/// Guards against an entry that sends requests or health checks to the servers of an evacuated data centre later than
/// the bound, while entries are stopped, killed, paused and started.
#[tokio::test(flavor = "multi_thread")]
async fn soak_evacuated_servers_get_nothing() {
    let report = play("evacuate,entry", 22, 0.4, 1.0).await;
    assert!(report.faults.is_empty(), "{}", report.stories);
    assert!(report.served > 0, "{report:?}");
    assert!(report.played.contains_key("evacuate-site"), "{report:?}");
}

/// Guards against a soak that passes though a server got something after the bound, and against one that blames an
/// entry for what it sent in time, after the end of the evacuation, or after a pause or a fault of the store.
#[test]
fn find_evacuation_faults_late_arrivals() {
    let evacuations = [SoakEvacuation {
        data_center: "bilbao",
        acknowledged: 10_000,
        revoked: Some(40_000),
    }];
    let cases = [
        (9_000, "bilbao", None, false),
        (15_000, "bilbao", None, false),
        (15_001, "bilbao", None, true),
        (15_001, "oviedo", None, false),
        (39_999, "bilbao", None, true),
        (40_000, "bilbao", None, false),
        // 3 s after the trouble the entry is connected, and has the bound once more.
        (17_000, "bilbao", Some((11_000, 12_000)), false),
        (20_001, "bilbao", Some((11_000, 12_000)), true),
        (15_001, "bilbao", Some((2_000, 6_000)), true),
        (20_000, "bilbao", Some((18_000, 19_000)), true),
    ];
    for (at, data_center, trouble, is_late) in cases {
        let arrival = Arrival {
            at,
            request: "r1".into(),
            server: "i-1".into(),
            data_center,
            entry: [127, 0, 0, 1].into(),
        };
        let troubles = |_| trouble.into_iter().collect();
        let faults = find_evacuation_faults(&[arrival], &evacuations, troubles);
        assert_eq!(
            !faults.is_empty(),
            is_late,
            "{at} {data_center} {trouble:?}"
        );
    }
}

/// Guards against a soak that does not notice answers of other requests, planned stops that cut requests
/// off, runs at the wrong service, old routes, evacuations that are not obeyed, or cold servers that get too
/// much: a run in which servers or the schedule are wrong on purpose must fail.
#[tokio::test(flavor = "multi_thread")]
async fn soak_broken_stand_in_is_noticed() {
    for (faults, seconds, expected) in [
        ("check-mixed,check-config,route-drop", 6, "CONFIG MIXED"),
        ("check-lost", 8, "LOST"),
        ("check-route,server-move", 4, "ROUTE"),
        ("check-evacuation", 12, "EVACUATED"),
        ("check-cold,cold-again", 6, "COLD"),
    ] {
        let report = play(faults, seconds, 1.0, 4.0).await;
        let rules: Vec<_> = report.broken.keys().copied().collect();
        assert_eq!(rules.join(" "), expected, "{report:?}");
    }
}

/// Guards against an unknown fault that is ignored, so that a soak without faults passes.
#[test]
fn parse_faults_by_name_and_group() {
    assert_eq!(parse_faults("none").unwrap().len(), 0);
    assert_eq!(parse_faults("all").unwrap().len(), 34);
    assert_eq!(parse_faults("cold").unwrap().len(), 2);
    assert_eq!(parse_faults("faulty-servers,entry-term").unwrap().len(), 21);
    assert_eq!(parse_faults("copy-ok,copy-refused").unwrap().len(), 2);
    let error = parse_faults("server,serfer").unwrap_err();
    assert!(
        error.starts_with("--faults serfer: expected none"),
        "{error}"
    );
}
