use std::time::Instant;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::rt::{TokioExecutor, TokioIo};
use lentilcart_bench::load::{
    CallerSettings, LoadProfile, RequestOutcome, Workload, draw_plan, run_load,
};
use lentilcart_bench::servers::expected_body;
use lentilcart_util::{Map, Micros};
use tokio::io::{AsyncReadExt, AsyncWriteExt};

use crate::cluster::{small_layout, start_cluster};

/// Requests outstanding at the same time; the servers have 48 slots.
const MAX_CONCURRENT: usize = 40;

/// Returns the settings of callers of all entries, without a balancer.
fn caller_settings(cluster: &lentilcart_bench::cluster::Cluster, run_name: &str) -> CallerSettings {
    CallerSettings {
        addresses: (0..5)
            .map(|number| cluster.layout.get_caller_address(number))
            .collect(),
        readiness_addresses: Vec::new(),
        services: cluster
            .layout
            .firm
            .services
            .iter()
            .map(|s| s.name)
            .collect(),
        run_name: run_name.to_owned(),
        keyed: true,
    }
}

/// Guards against a body that server stubs and callers both form wrongly, so that no comparison fails.
#[test]
fn expected_body_repeats_id() {
    assert_eq!(expected_body("ab", 0, b"\x01\x02"), b"3:");
    assert_eq!(expected_body("ab", 6, b"\x01\x02"), b"3:ab.ab.");
    assert_eq!(expected_body("ab", 7, b""), b"0:ab.ab.a");
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_separate_processes() {
    let mut layout = small_layout();
    layout.split_servers = true;
    let cluster = start_cluster(layout, "near1-over2").await;
    assert_eq!(cluster.servers.len(), 16);
    let workload = Workload {
        profile: LoadProfile::Flat(0.3),
        entries: 5,
        duration: Micros::from_millis(1500),
        straggler_share: 0.0,
        independent_reruns: false,
        first_entry_share: None,
        seed: 7,
    };
    let mut requests = draw_plan(&cluster.layout.firm, &workload);
    let response_sizes = [0, 1, 1000, 70_000, 1_000_000];
    for (index, planned) in requests.iter_mut().enumerate() {
        planned.response_bytes = response_sizes[index % response_sizes.len()];
        planned.arrival = Micros::ZERO;
    }
    // Batches bound the number of outstanding requests also on a busy machine, where responses take
    // longer.
    let mut observations = Vec::new();
    for batch in requests.chunks(MAX_CONCURRENT) {
        observations
            .extend(run_load(caller_settings(&cluster, "whole"), batch, Instant::now()).await);
    }
    let mut outcomes: Map<String, usize> = Map::default();
    for observation in &observations {
        *outcomes
            .entry(format!("{:?}", observation.outcome))
            .or_default() += 1;
    }
    let answered = observations
        .iter()
        .filter(|observation| observation.outcome == RequestOutcome::Answered)
        .count();
    assert_eq!(answered, requests.len(), "{outcomes:?}");
    cluster.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn serve_http2() {
    let cluster = start_cluster(small_layout(), "near1-over2").await;
    let mut tasks = Vec::new();
    for number in 0..5 {
        let address = cluster.layout.get_caller_address(number);
        let stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let (sender, connection) =
            hyper::client::conn::http2::handshake(TokioExecutor::new(), TokioIo::new(stream))
                .await
                .unwrap();
        tokio::spawn(connection);
        for (index, size) in [0, 100, 300_000, 1_000_000].into_iter().enumerate() {
            let mut sender = sender.clone();
            tasks.push(tokio::spawn(async move {
                let id = format!("two-{number}-{index}");
                let sent = Bytes::from(vec![index as u8; size / 4]);
                let request = Request::post(format!("http://{address}/reservations/{index}"))
                    .header("x-id", &id)
                    .header("x-size", size)
                    .header("x-work-us", 1000)
                    .body(Full::new(sent.clone()))
                    .unwrap();
                let response = sender.send_request(request).await.unwrap();
                let body = response.into_body().collect().await.unwrap().to_bytes();
                assert_eq!(body, expected_body(&id, size, &sent));
            }));
        }
    }
    for task in tasks {
        task.await.unwrap();
    }
    cluster.stop().await;
}

/// Guards against requests that still wait for a permit when a stopping entry ends, and get no answer.
#[tokio::test(flavor = "multi_thread")]
async fn stop_rejects_waiting_requests() {
    let mut layout = small_layout();
    // An entry that another one takes for lost, since a busy machine pauses it, has a second owner of its
    // services beside it, which sends as many requests to servers.
    let flags = ["--drain", "2s", "--silence", "10s"];
    layout.flags.extend(flags.map(str::to_owned));
    let cluster = start_cluster(layout, "near1-over2").await;
    let address = cluster.layout.get_caller_address(0);
    // 4 servers with 3 slots, each of which may be sent 2 requests more.
    let most_running = 4 * (3 + 2);
    let mut streams = Vec::new();
    for number in 0..2 * most_running {
        let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let request = format!(
            "POST /reservations/1 HTTP/1.1\r\nhost: a\r\nx-id: s{number}\r\nx-work-us: 60000000\r\ncontent-length: 0\r\n\r\n"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    cluster.signal(0, "TERM");
    let (mut rejected, mut ended) = (0, 0);
    for mut stream in streams {
        let response = read_whole_response(&mut stream).await;
        if is_stopping_response(&response, 503, "not-run") {
            rejected += 1;
        } else if is_stopping_response(&response, 502, "unknown") {
            ended += 1;
        } else {
            panic!("{response}");
        }
    }
    assert!(ended <= most_running, "{ended} ended, {rejected} rejected");
    assert_eq!(ended + rejected, 2 * most_running);
    cluster.stop().await;
}

/// Returns all that comes on a connection until it is closed or reset.
async fn read_whole_response(stream: &mut tokio::net::TcpStream) -> String {
    let mut response = String::new();
    // A connection that the end of the process resets fails here.
    stream.read_to_string(&mut response).await.ok();
    response
}

/// Returns whether a response has a status and an outcome, and says that the entry is about to stop.
fn is_stopping_response(response: &str, status: u16, outcome: &str) -> bool {
    response.starts_with(&format!("HTTP/1.1 {status}"))
        && response.contains(&format!("lentilcart-outcome: {outcome}\r\n"))
        && response.contains("about to stop")
}

/// Guards against a request that counts as in flight for good after its caller has disconnected before
/// there was a response, so that the entry does not drain until the end of `--drain`.
#[tokio::test(flavor = "multi_thread")]
async fn disconnected_caller_leaves_no_request_in_flight() {
    let cluster = start_cluster(small_layout(), "near1-over2").await;
    let address = cluster.layout.get_caller_address(0);
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let request = "POST /reservations/1 HTTP/1.1\r\nhost: a\r\nx-id: d1\r\nx-work-us: 60000000\r\ncontent-length: 0\r\n\r\n";
    stream.write_all(request.as_bytes()).await.unwrap();
    cluster
        .wait_for_status(0, |status| status.in_flight == 1)
        .await;
    drop(stream);
    cluster
        .wait_for_status(0, |status| status.in_flight == 0)
        .await;
    cluster.stop().await;
}

/// Guards against requests whose body is not complete when a stopping entry ends, and that get no answer,
/// whether the entry holds the body back or a server is getting it.
#[tokio::test(flavor = "multi_thread")]
async fn stop_answers_requests_without_whole_body() {
    let mut layout = small_layout();
    layout.flags.extend(["--drain".to_owned(), "2s".to_owned()]);
    let cluster = start_cluster(layout, "near1-over2").await;
    let address = cluster.layout.get_caller_address(0);
    // The routes of the catalogue are idempotent, those of reservations are not.
    let mut streams = Vec::new();
    for (path, id) in [("/catalogue/1", "b1"), ("/reservations/1", "b2")] {
        let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
        let request = format!(
            "POST {path} HTTP/1.1\r\nhost: a\r\nx-id: {id}\r\ncontent-length: 10\r\n\r\nab"
        );
        stream.write_all(request.as_bytes()).await.unwrap();
        streams.push(stream);
    }
    cluster.signal(0, "TERM");
    let [catalogue, reservations] = &mut streams[..] else {
        unreachable!("two streams");
    };
    let response = read_whole_response(catalogue).await;
    assert!(
        is_stopping_response(&response, 503, "not-run"),
        "{response:?}"
    );
    let response = read_whole_response(reservations).await;
    assert!(
        is_stopping_response(&response, 502, "unknown"),
        "{response:?}"
    );
    cluster.stop().await;
}
