//! What callers of entries are told about whether their request ran, where servers and entries fail.

use std::fmt::Write;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use lentilcart_bench::cluster::{Cluster, Layout};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::cluster::small_layout;

/// Interval at which a condition is checked.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Longest wait for a condition; the test fails after it.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Answer of a server that does not run a request.
const REFUSAL: &str = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
/// The same with a load report, as an answer to a request for the load.
const REFUSAL_WITH_LOAD: &str =
    "HTTP/1.1 503 Busy\r\nlentilcart-load: 0\r\ncontent-length: 0\r\n\r\n";
/// Answer of a server that has run a request.
const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";

/// Paths of the requests that have come to scripted servers.
type Arrivals = Arc<Mutex<Vec<String>>>;

/// Starts a server that answers each request, by its path, with what `respond` returns, or not at all for
/// `None`. If `repeats` is true, it writes a copy of its last refusal before the next answer on the
/// connection.
async fn start_server(
    arrivals: &Arrivals,
    repeats: bool,
    respond: impl Fn(&str) -> Option<&'static str> + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (arrivals, respond) = (arrivals.clone(), Arc::new(respond));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let (arrivals, respond) = (arrivals.clone(), respond.clone());
            tokio::spawn(async move {
                let mut late_copy = "";
                while let Some(path) = read_path(&mut stream).await {
                    arrivals.lock().unwrap().push(path.clone());
                    stream.write_all(late_copy.as_bytes()).await.ok();
                    late_copy = "";
                    let Some(response) = respond(&path) else {
                        continue;
                    };
                    stream.write_all(response.as_bytes()).await.ok();
                    if repeats && response != OK {
                        late_copy = response;
                    }
                }
            });
        }
    });
    address
}

/// Reads a request without a body and returns its path, or `None` at the end of the connection.
async fn read_path(stream: &mut TcpStream) -> Option<String> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?;
    Some(head.split(' ').nth(1)?.to_owned())
}

/// Sends a request without a body to an entry and returns the head of the response.
async fn send(entry: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(entry).await.unwrap();
    let request = format!(
        "POST {path} HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response
}

/// Starts a deployment whose first service, of a policy, a class and with a number of owners, has the servers
/// given and no other service has any.
async fn start_with_servers(
    layout: Layout,
    policy: &str,
    class: &str,
    owners: usize,
    servers: &[SocketAddr],
) -> Cluster {
    let name = layout.firm.services[0].name;
    let mut ticket = format!(
        "base = 0\n[[service]]\nname = \"{name}\"\ntenant = \"a\"\npolicy = \"{policy}\"\n\
         homes = {owners}\novercommit = 2\nconnections = 8\nnot_run = [503]\n\
         load = {{ probes = 50, bytes = 20000, entries = 8 }}\n\
         [[service.route]]\npath = \"/{name}\"\nclass = \"{class}\"\ndeadline = \"20s\"\n"
    );
    let data_center = layout.firm.data_centers[0];
    for address in servers {
        write!(
            ticket,
            "[[service.server]]\naddress = \"{address}\"\ndata_center = \"{data_center}\"\nslots = 3\n"
        )
        .unwrap();
    }
    let cluster = Cluster::start(layout).await;
    let output = cluster.submit(&ticket).await;
    let errors = String::from_utf8_lossy(&output.stderr);
    assert!(output.status.success(), "{errors}");
    cluster
}

/// Guards against a late copy of a server's refusal that is taken for the answer to the next request on the
/// connection: its caller was told `not-run` for a request that the server had run.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_refusal_is_not_believed() {
    let arrivals = Arrivals::default();
    let respond = |path: &str| {
        Some(if path.ends_with("refused") {
            REFUSAL
        } else {
            OK
        })
    };
    let server = start_server(&arrivals, true, respond).await;
    let cluster = start_with_servers(small_layout(), "late", "once", 0, &[server]).await;
    let entry = cluster.layout.get_caller_address(0);
    let name = cluster.layout.firm.services[0].name;
    let refused = send(entry, &format!("/{name}/refused")).await;
    assert!(refused.contains("lentilcart-outcome: not-run"), "{refused}");
    let path = format!("/{name}/run");
    let response = send(entry, &path).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    let arrivals = arrivals.lock().unwrap().clone();
    assert_eq!(arrivals.iter().filter(|p| **p == path).count(), 1);
    cluster.stop().await;
}

/// Guards against the same after a request for the load that was refused.
#[tokio::test(flavor = "multi_thread")]
async fn late_copy_of_refused_load_is_not_believed() {
    let arrivals = Arrivals::default();
    let respond = |path: &str| {
        Some(if path == "/load" {
            REFUSAL_WITH_LOAD
        } else {
            OK
        })
    };
    let server = start_server(&arrivals, true, respond).await;
    let cluster = start_with_servers(small_layout(), "probe-pool", "once", 0, &[server]).await;
    let entry = cluster.layout.get_caller_address(0);
    let name = cluster.layout.firm.services[0].name;
    for number in 0..100 {
        let response = send(entry, &format!("/{name}/{number}")).await;
        assert!(response.starts_with("HTTP/1.1 200"), "{number}: {response}");
    }
    let arrivals = arrivals.lock().unwrap().clone();
    assert!(
        arrivals.iter().any(|path| path == "/load"),
        "no request for the load"
    );
    cluster.stop().await;
}

/// Guards against `not-run` for a forwarded request whose first owner was lost while a server may have been
/// running it, and whose second owner did not run it.
#[tokio::test(flavor = "multi_thread")]
async fn forwarded_request_is_unknown_after_lost_owner() {
    let arrivals = Arrivals::default();
    let shared = arrivals.clone();
    // The first attempt runs for good, and further ones are refused.
    let respond = move |path: &str| {
        let count = shared.lock().unwrap().iter().filter(|p| *p == path).count();
        (count > 1).then_some(REFUSAL)
    };
    let server = start_server(&arrivals, false, respond).await;
    let mut cluster = start_with_servers(small_layout(), "late", "idempotent", 2, &[server]).await;
    let [first, sender] = [0, 2].map(|rank| cluster.layout.get_entry_by_rank(rank));
    // The sender forwards to owners that it knows to be live.
    cluster
        .wait_for_status(sender, |status| {
            status.peers.len() == 4 && status.peers.values().all(Option::is_some)
        })
        .await;
    let entry = cluster.layout.get_caller_address(sender);
    let path = format!("/{}/x", cluster.layout.firm.services[0].name);
    let (sent_path, sent) = (path.clone(), arrivals.clone());
    let response = tokio::spawn(async move { send(entry, &sent_path).await });
    let has_arrived = async {
        while !sent.lock().unwrap().contains(&path) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    timeout(WAIT_TIMEOUT, has_arrived).await.unwrap();
    cluster.kill(first);
    let response = response.await.unwrap();
    assert!(
        response.contains("lentilcart-outcome: unknown"),
        "{response}"
    );
    cluster.stop().await;
}
