//! Stand-in of the platform's store, by its published calls: items with leases, conditional writes, watches, and a
//! header with the era in each answer.

use std::collections::{BTreeMap, HashMap};
use std::io;
use std::net::{IpAddr, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Connection, Message, percent_decode};
use crate::json::{Json, base64, quote};
use crate::record::Record;

/// Time after which the store answers a call.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// Largest number of items of a page.
const PAGE: usize = 500;
/// Header of all answers.
const ERA: &str = "Store-Era: 1\r\n";
/// Shortest lease, as in the settings `ttlMinMs`.
const MIN_TTL: u64 = 1000;

#[derive(Debug, Clone)]
struct Item {
    /// As base64.
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Debug, Clone)]
enum Event {
    Written(String, Item),
    Removed(String, u64),
}

impl Event {
    fn key(&self) -> &str {
        match self {
            Event::Written(key, _) | Event::Removed(key, _) => key,
        }
    }

    fn revision(&self) -> u64 {
        match self {
            Event::Written(_, item) => item.revision,
            Event::Removed(_, revision) => *revision,
        }
    }
}

#[derive(Debug, Clone)]
struct Lease {
    end: Instant,
    ttl: Duration,
}

#[derive(Debug)]
struct State {
    items: BTreeMap<String, Item>,
    events: Vec<Event>,
    /// A watch from before this revision gets 410.
    oldest: u64,
    revision: u64,
    leases: HashMap<u64, Lease>,
    next_lease: u64,
}

/// What becomes of a write.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fate {
    Answered,
    /// It is done after this time, and not answered.
    Late(Duration),
}

type Rule = dyn Fn(IpAddr, &str, usize) -> Fate + Send + Sync;

/// The store, which clones share.
#[derive(Clone)]
pub struct Store {
    state: Arc<Mutex<State>>,
    changed: Arc<Condvar>,
    record: Record,
    /// Decides on a write by its sender, its path and its number among those of that sender and path, from 0.
    rule: Arc<Rule>,
    counts: Arc<Mutex<HashMap<(IpAddr, String), usize>>>,
}

impl Store {
    /// Starts a store at an address.
    pub fn start(
        address: SocketAddr,
        record: Record,
        rule: impl Fn(IpAddr, &str, usize) -> Fate + Send + Sync + 'static,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        let store = Self {
            state: Arc::new(Mutex::new(State {
                items: BTreeMap::new(),
                events: Vec::new(),
                oldest: 100,
                revision: 100,
                leases: HashMap::new(),
                next_lease: 7000,
            })),
            changed: Arc::default(),
            record,
            rule: Arc::new(rule),
            counts: Arc::default(),
        };
        let shared = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = shared.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let shared = store.clone();
        thread::spawn(move || {
            loop {
                shared.end_leases();
                thread::sleep(Duration::from_millis(10));
            }
        });
        Ok(store)
    }

    /// Writes a key as the operator or a server does.
    pub fn put(&self, key: &str, value: &str) {
        let mut state = self.state.lock().unwrap();
        state.put(key, base64(value.as_bytes()), 0);
        drop(state);
        self.changed.notify_all();
    }

    pub fn has(&self, key: &str) -> bool {
        self.state.lock().unwrap().items.contains_key(key)
    }

    fn end_leases(&self) {
        let mut state = self.state.lock().unwrap();
        let now = Instant::now();
        let ended = state.leases.iter().filter(|(_, lease)| lease.end <= now);
        let ended: Vec<u64> = ended.map(|(id, _)| *id).collect();
        for id in ended {
            state.end_lease(id, &self.record);
        }
        drop(state);
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(peer) = stream.peer_addr() else { return };
        let mut connection = Connection::new(stream);
        while let Ok(Some(request)) = connection.read() {
            thread::sleep(ANSWER_TIME);
            let (_, target) = request.target();
            let path = target.split('?').next().unwrap_or_default().to_owned();
            let fate = match path.as_str() {
                "/kv-txn" | "/kv-lease" => {
                    let mut counts = self.counts.lock().unwrap();
                    let count = counts.entry((peer.ip(), path.clone())).or_default();
                    *count += 1;
                    (self.rule)(peer.ip(), &path, *count - 1)
                }
                _ => Fate::Answered,
            };
            if let Fate::Late(time) = fate {
                self.record
                    .add(format!("store: {path} of {} is not answered", peer.ip()));
                let store = self.clone();
                thread::spawn(move || {
                    thread::sleep(time);
                    let (status, _) = store.answer(&request);
                    let ip = peer.ip();
                    store.record.add(format!(
                        "store: {path} of {ip} is done {} ms late: {status}",
                        time.as_millis()
                    ));
                });
                // The connection returns nothing further.
                while let Ok(Some(_)) = connection.read() {}
                return;
            }
            let (status, body) = self.answer_or_wait(&request);
            if connection.respond(status, ERA, &body).is_err() {
                return;
            }
        }
    }

    /// Answers a call; a watch waits.
    fn answer_or_wait(&self, request: &Message) -> (u16, String) {
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        if (method, path) != ("GET", "/kv-watch") {
            return self.answer(request);
        }
        let prefix = field(query, "pathPrefix").unwrap_or_default();
        let number = |name| field(query, name).and_then(|text| text.parse::<u64>().ok());
        let (after, wait) = (number("after").unwrap_or(0), number("waitMs").unwrap_or(0));
        let end = Instant::now() + Duration::from_millis(wait);
        let mut state = self.state.lock().unwrap();
        loop {
            if after < state.oldest || after > state.revision {
                return (410, "{}".to_owned());
            }
            let events = state.events.iter();
            let events = events.filter(|e| e.revision() > after && e.key().starts_with(&prefix));
            let events: Vec<String> = events.map(format_event).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= end {
                let body = format!(
                    "{{\"events\":[{}],\"storeRevision\":{}}}",
                    events.join(","),
                    state.revision
                );
                return (200, body);
            }
            state = self.changed.wait_timeout(state, end - now).unwrap().0;
        }
    }

    fn answer(&self, request: &Message) -> (u16, String) {
        let (method, target) = request.target();
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let mut state = self.state.lock().unwrap();
        let answer = match (method, path) {
            ("GET", "/kv-range") => {
                let prefix = field(query, "pathPrefix").unwrap_or_default();
                let after = field(query, "after").unwrap_or_default();
                let matching = state.items.iter();
                let mut matching =
                    matching.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
                let items: Vec<String> = matching
                    .by_ref()
                    .take(PAGE)
                    .map(|(key, item)| format_item(key, item))
                    .collect();
                let body = format!(
                    "{{\"items\":[{}],\"truncated\":{},\"storeRevision\":{}}}",
                    items.join(","),
                    matching.next().is_some(),
                    state.revision
                );
                (200, body)
            }
            ("POST", "/kv-txn") => state.write(&body),
            ("POST", "/kv-lease") => {
                let ttl = body.get("ttlMs").and_then(Json::number).unwrap_or(MIN_TTL);
                let ttl = Duration::from_millis(ttl.max(MIN_TTL));
                state.next_lease += 1;
                let id = state.next_lease;
                let end = Instant::now() + ttl;
                state.leases.insert(id, Lease { end, ttl });
                let ttl = ttl.as_millis();
                (200, format!("{{\"lease\":{id},\"ttlMs\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let id = path["/kv-keep/".len()..].parse().unwrap_or(0);
                match state.leases.get_mut(&id) {
                    Some(lease) => {
                        lease.end = Instant::now() + lease.ttl;
                        (200, format!("{{\"ttlMs\":{}}}", lease.ttl.as_millis()))
                    }
                    None => (404, "{}".to_owned()),
                }
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                let id = path["/kv-lease-end/".len()..].parse().unwrap_or(0);
                if state.leases.contains_key(&id) {
                    state.end_lease(id, &self.record);
                    (200, "{}".to_owned())
                } else {
                    (404, "{}".to_owned())
                }
            }
            _ => (404, "{}".to_owned()),
        };
        drop(state);
        self.changed.notify_all();
        answer
    }
}

impl State {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self
            .items
            .get(key)
            .map_or(self.revision, |item| item.created);
        let item = Item {
            value,
            revision: self.revision,
            created,
            lease,
        };
        self.items.insert(key.to_owned(), item.clone());
        self.events.push(Event::Written(key.to_owned(), item));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.events
                .push(Event::Removed(key.to_owned(), self.revision));
        }
    }

    fn end_lease(&mut self, id: u64, record: &Record) {
        self.leases.remove(&id);
        let keys = self.items.iter().filter(|(_, item)| item.lease == id);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            record.add(format!(
                "store: lease {id} has ended, and {key} with it is removed"
            ));
            self.remove(&key);
        }
    }

    /// Does all of a write, or nothing.
    fn write(&mut self, body: &Json) -> (u16, String) {
        let list = |name| body.get(name).map(Json::list).unwrap_or_default();
        let holds = list("expect").iter().all(|row| {
            let key = row.get("key").and_then(Json::text).unwrap_or_default();
            let expected = row.get("revision").and_then(Json::number);
            let found = self.items.get(key).map_or(0, |item| item.revision);
            expected == Some(found)
        });
        if !holds {
            let items = list("expect").iter().filter_map(|row| {
                let key = row.get("key")?.text()?;
                Some(format_item(key, self.items.get(key)?))
            });
            let items: Vec<String> = items.collect();
            return (412, format!("{{\"items\":[{}]}}", items.join(",")));
        }
        let puts: Vec<(String, String, u64)> = list("puts")
            .iter()
            .filter_map(|put| {
                let key = put.get("key")?.text()?.to_owned();
                let value = put.get("value")?.text()?.to_owned();
                let lease = put.get("lease").and_then(Json::number).unwrap_or(0);
                Some((key, value, lease))
            })
            .collect();
        let has_leases = |lease: u64| lease == 0 || self.leases.contains_key(&lease);
        if !puts.iter().all(|(_, _, lease)| has_leases(*lease)) {
            return (404, "{}".to_owned());
        }
        for (key, value, lease) in puts {
            self.put(&key, value, lease);
        }
        for key in list("deletes").iter().filter_map(Json::text) {
            self.remove(key);
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn field(query: &str, name: &str) -> Option<String> {
    let mut fields = query.split('&').filter_map(|field| field.split_once('='));
    let found = fields.find(|(other, _)| *other == name);
    found.map(|(_, value)| percent_decode(value))
}

fn format_item(key: &str, item: &Item) -> String {
    format!(
        "{{\"key\":{},\"value\":{},\"revision\":{},\"created\":{},\"lease\":{}}}",
        quote(key),
        quote(&item.value),
        item.revision,
        item.created,
        item.lease
    )
}

fn format_event(event: &Event) -> String {
    match event {
        Event::Written(key, item) => format_item(key, item),
        Event::Removed(key, revision) => {
            let key = quote(key);
            format!("{{\"key\":{key},\"revision\":{revision},\"tombstone\":true}}")
        }
    }
}
