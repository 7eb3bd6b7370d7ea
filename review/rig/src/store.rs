//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, answer, read};
use crate::json::{Json, base64};

/// Time that the store takes for an answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    /// Base64 text.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

/// A change: revision, key, and the item as it was written, or `None` for a removal.
type Event = (u64, String, Option<Item>);

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    next_lease: u64,
    /// Prefix of the watches whose answers are lost.
    lost_prefix: Option<String>,
    /// Answers given, and those that were lost, while answers are lost.
    answers: (u32, u32),
    leases: BTreeMap<u64, (Instant, Duration)>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start(address: SocketAddr) -> Self {
        let listener = TcpListener::bind(address).expect("address of the store");
        let store = Self {
            state: Arc::default(),
            address: listener.local_addr().expect("local address"),
        };
        store.state.0.lock().unwrap().revision = 100;
        let shared = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                std::thread::spawn(move || shared.serve(stream));
            }
        });
        let shared = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(20));
                shared.expire();
            }
        });
        store
    }

    /// Writes an item, as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.0.lock().unwrap();
        state.put(key, base64(value.as_bytes()), 0);
        self.state.1.notify_all();
    }

    pub fn remove(&self, key: &str) {
        self.state.0.lock().unwrap().remove(key);
        self.state.1.notify_all();
    }

    /// From now on, the answers to watches of a prefix are lost, and their connections return nothing
    /// further.
    pub fn lose_answers(&self, prefix: &str) {
        self.state.0.lock().unwrap().lost_prefix = Some(prefix.to_owned());
    }

    /// Ends the loss of answers; returns the number of answers meanwhile, and of those that were lost.
    pub fn stop_losing(&self) -> (u32, u32) {
        let mut state = self.state.0.lock().unwrap();
        state.lost_prefix = None;
        state.answers
    }

    fn expire(&self) {
        let mut state = self.state.0.lock().unwrap();
        let now = Instant::now();
        let ended: Vec<u64> = state
            .leases
            .iter()
            .filter(|(_, (end, _))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        for lease in ended {
            state.end_lease(lease);
            self.state.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let mut writer = stream.try_clone().expect("clone of a socket");
        let mut reader = BufReader::new(stream);
        let mut is_silent = false;
        while let Ok(Some(request)) = read(&mut reader, false) {
            std::thread::sleep(ANSWER_TIME);
            let (status, body) = self.handle(&request);
            is_silent |= self.is_lost(request.word(1));
            if is_silent {
                continue;
            }
            let headers = [("Content-Type", "application/json")];
            if writer
                .write_all(&answer(status, &headers, body.as_bytes()))
                .is_err()
            {
                return;
            }
        }
    }

    /// Counts an answer while answers are lost, and returns whether this one is.
    fn is_lost(&self, path: &str) -> bool {
        let mut state = self.state.0.lock().unwrap();
        let Some(prefix) = state.lost_prefix.clone() else {
            return false;
        };
        let is_lost = path.starts_with(&format!("/kv-watch?pathPrefix={prefix}"));
        state.answers.0 += 1;
        state.answers.1 += u32::from(is_lost);
        is_lost
    }

    fn handle(&self, request: &Message) -> (&'static str, String) {
        let (path, query) = request
            .word(1)
            .split_once('?')
            .unwrap_or((request.word(1), ""));
        let query = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(n, _)| *n == name).map(|(_, v)| decode(v))
        };
        let number = |name: &str| query(name).and_then(|v| v.parse::<u64>().ok());
        let mut state = self.state.0.lock().unwrap();
        match (request.word(0), path) {
            ("GET", "/kv-range") => {
                let prefix = query("pathPrefix").unwrap_or_default();
                let after = query("after").unwrap_or_default();
                let items = state.items.iter();
                let items = items.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = items.map(|(key, item)| item.show(key)).collect();
                let body = format!(
                    "{{\"items\":[{}],\"truncated\":false,\"storeRevision\":{}}}",
                    items.join(","),
                    state.revision
                );
                ("200 OK", body)
            }
            ("GET", "/kv-key") => match state.items.get(&query("key").unwrap_or_default()) {
                Some(item) => ("200 OK", item.show(&query("key").unwrap_or_default())),
                None => ("404 Not Found", "{}".to_owned()),
            },
            ("GET", "/kv-watch") => {
                let prefix = query("pathPrefix").unwrap_or_default();
                let after = number("after").unwrap_or_default();
                let end =
                    Instant::now() + Duration::from_millis(number("waitMs").unwrap_or_default());
                loop {
                    let events = state.events.iter();
                    let due = events.filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
                    let due: Vec<String> = due.map(show_event).collect();
                    let left = end.saturating_duration_since(Instant::now());
                    if !due.is_empty() || left.is_zero() {
                        let body = format!(
                            "{{\"events\":[{}],\"storeRevision\":{}}}",
                            due.join(","),
                            state.revision
                        );
                        return ("200 OK", body);
                    }
                    state = self.state.1.wait_timeout(state, left).unwrap().0;
                }
            }
            ("POST", "/kv-txn") => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let list = |name: &str| body.get(name).map(Json::as_list).unwrap_or_default();
                let text = |row: &Json, name: &str| {
                    row.get(name)
                        .map(Json::as_text)
                        .unwrap_or_default()
                        .to_owned()
                };
                for row in list("expect") {
                    let known = state.items.get(&text(row, "key")).map_or(0, |i| i.revision);
                    if known != row.get("revision").map_or(0, Json::as_u64) {
                        return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
                    }
                }
                for row in list("puts") {
                    let lease = row.get("lease").map_or(0, Json::as_u64);
                    if lease > 0 && !state.leases.contains_key(&lease) {
                        return ("404 Not Found", "{}".to_owned());
                    }
                    let key = text(row, "key");
                    if key.starts_with("op/") || key.starts_with("servers/") {
                        return ("403 Forbidden", "{}".to_owned());
                    }
                }
                for row in list("puts") {
                    let lease = row.get("lease").map_or(0, Json::as_u64);
                    state.put(&text(row, "key"), text(row, "value"), lease);
                }
                for key in list("deletes") {
                    state.remove(key.as_text());
                }
                self.state.1.notify_all();
                ("200 OK", format!("{{\"revision\":{}}}", state.revision))
            }
            ("POST", "/kv-lease") => {
                let body = Json::parse(&String::from_utf8_lossy(&request.body));
                let ttl = body.get("ttlMs").map_or(1000, Json::as_u64).max(1000);
                state.next_lease += 1;
                let lease = state.next_lease;
                let time = Duration::from_millis(ttl);
                state.leases.insert(lease, (Instant::now() + time, time));
                ("200 OK", format!("{{\"lease\":{lease},\"ttlMs\":{ttl}}}"))
            }
            (method, path) => {
                let lease = path
                    .rsplit('/')
                    .next()
                    .and_then(|id| id.parse::<u64>().ok());
                let known = lease.and_then(|lease| state.leases.get(&lease).copied());
                match (method, lease, known) {
                    ("POST", Some(lease), Some((_, time))) if path.starts_with("/kv-keep/") => {
                        state.leases.insert(lease, (Instant::now() + time, time));
                        ("200 OK", "{}".to_owned())
                    }
                    ("DELETE", Some(lease), Some(_)) if path.starts_with("/kv-lease-end/") => {
                        state.end_lease(lease);
                        self.state.1.notify_all();
                        ("200 OK", "{}".to_owned())
                    }
                    _ => ("404 Not Found", "{}".to_owned()),
                }
            }
        }
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events
            .push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }
}

impl Item {
    fn show(&self, key: &str) -> String {
        format!(
            "{{\"key\":\"{key}\",\"value\":\"{}\",\"revision\":{},\"created\":{},\"lease\":{}}}",
            self.value, self.revision, self.created, self.lease
        )
    }
}

fn show_event((revision, key, item): &Event) -> String {
    match item {
        Some(item) => item.show(key),
        None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"tombstone\":true}}"),
    }
}

/// Decodes percent-encoding.
fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        if byte == b'%' {
            let digits: Vec<u8> = rest.by_ref().take(2).collect();
            let digits = String::from_utf8_lossy(&digits).into_owned();
            bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
        } else {
            bytes.push(byte);
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}
