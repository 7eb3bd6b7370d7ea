use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use lentilcart_util::{BitRateText, ByteText, DurationText, Micros, Name};
use serde::Deserialize;
use serde_with::serde_as;

use crate::error::SettingsError;
use crate::util::get_visible_memory;

/// Rate of the link if the settings name none, in bits a second.
const DEFAULT_LINK: u64 = 100_000_000;
/// Memory for bodies as a share of the memory that the process may use, if none is set.
const BODY_SHARE: f64 = 0.4;
/// Largest share of that memory that may be set for bodies.
const MAX_BODY_SHARE: f64 = 0.8;
/// Largest memory for bodies if none is set, in bytes.
const MAX_DEFAULT_BODIES: u64 = 256 << 20;
/// Smallest memory for bodies that may be set, in bytes.
const MIN_BODIES: u64 = 1 << 20;
/// Smallest time within which changes can be required to be in force: several calls to the store, and what entries tell
/// each other between them.
const MIN_APPLY_BOUND: Micros = Micros::from_millis(500);
/// Memory that the process may use if neither the settings nor the system name any, in bytes.
const DEFAULT_MEMORY: u64 = 512 << 20;

/// Settings of a gateway: an entry that takes its hosts, routes and servers from the store of the
/// users' platform, instead of change tickets.
///
/// They are read from a TOML file, in which a time is a text with a unit, such as `"250ms"`.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of this host.
    pub name: Name,
    /// Data centre of this host.
    pub data_center: Name,
    /// Addresses and limits of the listeners.
    pub listen: ListenSettings,
    /// Exchange with other entries.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Use of the platform's store.
    pub store: StoreSettings,
    /// Selection of servers, connections to them, and probes of their load.
    #[serde(default)]
    pub servers: ServerSettings,
    /// Retry budget of each service, shared by all entries.
    pub retries: RetrySettings,
    /// Tolerance of the limit on the requests of cold servers.
    #[serde(default)]
    pub warmup: WarmupSettings,
    /// Tolerance of the limits on the requests of client accounts.
    #[serde(default)]
    pub accounts: AccountSettings,
    /// What this host may use.
    #[serde(default)]
    pub limits: LimitSettings,
    /// Memory of the process, and the part of it for bodies. It is read at the start only.
    #[serde(default)]
    pub memory: MemorySettings,
    /// Durations of a shutdown: until the platform kills the process, and until the listener closes.
    #[serde(rename = "stop")]
    pub shutdown: ShutdownSettings,
}

/// Addresses and limits of the listeners.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ListenSettings {
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check, by which the platform learns whether to send connections.
    pub ready: SocketAddr,
    /// Address for other entries, over TCP and UDP.
    pub peer: SocketAddr,
    /// Address for operators, with metrics and the state in force.
    pub ops: SocketAddr,
    /// Largest number of connections of callers that are open at once.
    #[serde(rename = "connections")]
    pub max_connections: usize,
}

/// How entries discover and watch each other.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct PeerSettings {
    /// Addresses of hosts to contact while no other entry is known. Their ports are ignored; the
    /// port of `listen.peer` is used instead.
    pub seeds: Vec<SocketAddr>,
    /// Time between two heartbeats.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "beat")]
    pub heartbeat_interval: Micros,
    /// Time between two load digests, which tell the other entries how many requests this entry has
    /// outstanding at each server.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "digest")]
    pub digest_interval: Micros,
    /// Time without a heartbeat after which an entry counts as lost.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "silence")]
    pub silence_timeout: Micros,
}

impl Default for PeerSettings {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            heartbeat_interval: Micros::from_millis(500),
            digest_interval: Micros::from_millis(100),
            silence_timeout: Micros::from_millis(1800),
        }
    }
}

/// How the platform's store is used.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Time within which a call must be answered.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_timeout")]
    pub timeout: Micros,
    /// Time after which the store ends a watch without a change.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "watch", default = "default_watch_timeout")]
    pub watch_timeout: Micros,
    /// Time within which a change of the operator's keys must be in force at every entry. An entry that has not
    /// got a change for nine tenths of it rejects requests until it has.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "apply", default = "default_apply_bound")]
    pub apply_bound: Micros,
    /// Time between two confirmations of a waiting watch of the routes, by a call that does not wait: the
    /// reply to the watch may have been lost, which its connection does not show. The watches of servers
    /// and entries are confirmed whenever that shows a newer revision of the store. One of the watching
    /// entries does it for all, at least as often as `apply` requires.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "confirm", default = "default_confirm_interval")]
    pub confirm_interval: Micros,
    /// Time to live of the lease under which this entry registers.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "lease", default = "default_lease_ttl")]
    pub lease_ttl: Micros,
    /// Time between two renewals of that lease; each renewal also shows whether the store answers.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "renew", default = "default_renew_interval")]
    pub renew_interval: Micros,
}

impl StoreSettings {
    /// Returns whether each rule on these settings is broken, and its message.
    fn get_rules(&self) -> Vec<(bool, String)> {
        let (lease, renew) = (self.lease_ttl, self.renew_interval);
        vec![
            (
                lease < renew + renew,
                format!(
                    "store.lease = {:?}: expected at least twice store.renew ({:?})",
                    DurationText::format(lease),
                    DurationText::format(renew)
                ),
            ),
            (
                self.confirm_interval == Micros::ZERO,
                "store.confirm = \"0ms\": expected a time above 0".to_owned(),
            ),
            (
                self.apply_bound < MIN_APPLY_BOUND,
                format!(
                    "store.apply = {:?}: expected at least {:?}",
                    DurationText::format(self.apply_bound),
                    DurationText::format(MIN_APPLY_BOUND)
                ),
            ),
        ]
    }
}

const fn default_timeout() -> Micros {
    Micros::from_millis(600)
}

const fn default_watch_timeout() -> Micros {
    Micros::from_millis(25_000)
}

const fn default_apply_bound() -> Micros {
    Micros::from_millis(2000)
}

const fn default_confirm_interval() -> Micros {
    Micros::from_millis(1000)
}

const fn default_lease_ttl() -> Micros {
    Micros::from_millis(9000)
}

const fn default_renew_interval() -> Micros {
    Micros::from_millis(500)
}

/// Selection of servers, connections to them, and probes of their load.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct ServerSettings {
    /// Name of the policy that selects a server.
    pub policy: Name,
    /// Whether the owner of a service in a data centre selects the servers for all its requests
    /// there; if `false`, each entry selects servers for its own requests.
    #[serde(rename = "desks")]
    pub owner_dispatch: bool,
    /// Time within which a connection must be established.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "connect")]
    pub connect_timeout: Micros,
    /// Longest idle time after which a connection is still used for an idempotent request.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "idle")]
    pub max_idle_time: Micros,
    /// The same for a request that runs at most once: the server may have closed an idle connection,
    /// and such a request cannot be repeated once it was sent.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "idle-once")]
    pub max_idle_time_once: Micros,
    /// Number of requests beyond its slots that a server may be sent, with a late-binding policy,
    /// that is, one of the family `late`, which queues further requests in the entry.
    pub overcommit: u32,
    /// Number of slots of each server that are left free in an overload, that is, while many requests
    /// are queued for the servers of this data centre, since servers slow down when they are nearly
    /// full. In an overload `overcommit` does not apply.
    pub reserve: u32,
    /// Number of slots of each server in another data centre that are kept free for requests of
    /// that data centre.
    #[serde(rename = "far-reserve")]
    pub remote_reserve: u32,
    /// Cost of a server in another data centre, from 0 to 1: it is added to the estimated
    /// probability that the server's answer comes after the objective, the time by which the request should be answered. Only policy `late-paced` reads
    /// it; its range is not checked.
    #[serde(rename = "far-cost")]
    pub remote_cost: f64,
    /// Rule by which requests wait or are refused while the servers have too little room.
    pub shedding: Name,
    /// Largest share of the requests that may be hedged, that is, sent a second time before the
    /// first attempt was answered. Its range is not checked.
    #[serde(rename = "hedge")]
    pub hedge_ratio: f64,
    /// Shortest time between two probes of a server's load by all entries together.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "probe")]
    pub probe_interval: Micros,
    /// Time within which a server must answer a probe.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "probe-wait")]
    pub probe_timeout: Micros,
    /// Age of a load report from which its server is probed right before it is sent a request. A
    /// server without a load report is probed too.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "check-age")]
    pub preflight_age: Micros,
    /// Time within which a server must answer that probe; otherwise another server is selected.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "check-wait")]
    pub preflight_timeout: Micros,
    /// Longest time for which a server that wants no requests gets none, so that a wrong value does not
    /// take it out of use for good; 0 if servers get requests all the same.
    #[serde_as(as = "DurationText")]
    pub max_hold_off: Micros,
    /// Age of a load report from which its server is probed while requests are queued, if it is in
    /// this data centre. A server without a load report is probed too.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "wait-check")]
    pub queued_age: Micros,
}

impl Default for ServerSettings {
    fn default() -> Self {
        Self {
            policy: "late-paced".into(),
            owner_dispatch: true,
            connect_timeout: Micros::from_millis(300),
            max_idle_time: Micros::from_millis(4000),
            max_idle_time_once: Micros::from_millis(150),
            overcommit: 0,
            reserve: 1,
            remote_reserve: 1,
            remote_cost: 0.25,
            shedding: "wait-share".into(),
            hedge_ratio: 0.05,
            probe_interval: Micros::from_millis(200),
            probe_timeout: Micros::from_millis(250),
            preflight_age: Micros::from_millis(10),
            preflight_timeout: Micros::from_millis(25),
            max_hold_off: Micros::from_millis(600_000),
            queued_age: Micros::from_millis(40),
        }
    }
}

/// Retry budget of a service, shared by all entries.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RetrySettings {
    /// Number of retries allowed per answered attempt. The entries use only `RETRY_BUDGET_SHARE`
    /// (80 %) of it, since servers count retries a little later than the entries and must not see
    /// the budget exceeded.
    pub ratio: f64,
    /// Largest number of unused retries that may be saved up for a burst, by all entries together;
    /// reduced by the same share.
    pub burst: f64,
}

/// Tolerance of the limit on the requests of cold servers. A cold server gets at most `overage` times its
/// rate and `slack` requests more in a second from all entries together.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct WarmupSettings {
    /// Factor on the rate of a cold server, at least 1.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for WarmupSettings {
    fn default() -> Self {
        Self {
            overage: 1.0,
            slack: 0.0,
        }
    }
}

/// Tolerance of the limits on the requests of client accounts. In any window, all entries together send at
/// most what rate and burst allow, a share `overage` of it more, and `slack` requests more.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct AccountSettings {
    /// Length of the window.
    #[serde_as(as = "DurationText")]
    pub window: Micros,
    /// Share of the allowed requests by which they may be exceeded, at least 0.
    pub overage: f64,
    /// Requests beyond that.
    pub slack: f64,
}

impl Default for AccountSettings {
    fn default() -> Self {
        Self {
            window: Micros::from_millis(5000),
            overage: 0.0,
            slack: 0.0,
        }
    }
}

impl AccountSettings {
    /// Returns whether limits are enforced: the section differs from its defaults.
    #[must_use]
    pub fn is_enforced(&self) -> bool {
        *self != Self::default()
    }
}

/// What this host may use, by which the duties of the entries are divided among them.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct LimitSettings {
    /// Share of a core, above 0. Without it, this entry counts like one with a whole core.
    #[serde(rename = "cpu")]
    pub cpu_share: Option<f64>,
    /// Rate of this host's link, in bits a second. Serving mirrors to other entries takes a part of it.
    #[serde_as(as = "Option<BitRateText>")]
    pub link: Option<u64>,
}

impl LimitSettings {
    /// Returns the rate of this host's link, in bytes a second.
    #[must_use]
    pub fn get_link_bytes(&self) -> f64 {
        self.link.unwrap_or(DEFAULT_LINK) as f64 / 8.0
    }
}

/// Memory of the process, and the part of it for bodies; texts with a unit, such as `"256MiB"`.
#[serde_as]
#[derive(Debug, Clone, Default, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct MemorySettings {
    /// Memory that the process may use, in bytes; by default what the system shows of it.
    #[serde_as(as = "Option<ByteText>")]
    pub limit: Option<u64>,
    /// Memory for the request bodies and buffered answers that are held at once, in bytes. By default
    /// two fifths of the limit, and at most 256 MiB.
    #[serde_as(as = "Option<ByteText>")]
    pub bodies: Option<u64>,
}

impl MemorySettings {
    /// Returns the memory for the request bodies and buffered answers that are held at once, in bytes.
    #[must_use]
    pub fn get_body_bytes(&self) -> u64 {
        let default = (self.get_limit() as f64 * BODY_SHARE) as u64;
        self.bodies
            .unwrap_or_else(|| default.clamp(MIN_BODIES, MAX_DEFAULT_BODIES))
    }

    /// Returns the largest request body that this process takes, whatever the routes allow, in bytes.
    #[must_use]
    pub fn get_max_body(&self) -> u64 {
        (self.get_limit() as f64 * MAX_BODY_SHARE) as u64
    }

    /// Returns the memory that the process may use, in bytes.
    fn get_limit(&self) -> u64 {
        let limit = self.limit.or_else(get_visible_memory);
        limit.unwrap_or(DEFAULT_MEMORY)
    }
}

/// Durations of a shutdown: until the platform kills the process, and until the listener closes.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ShutdownSettings {
    /// Time after which the platform kills a process that it has told to stop.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "grace")]
    pub grace_period: Micros,
    /// Time between the report that this entry is not ready and the closing of its listener for
    /// callers. It must be long enough for the platform to stop sending new connections.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "notice", default = "default_lame_duck")]
    pub lame_duck: Micros,
}

const fn default_lame_duck() -> Micros {
    Micros::from_millis(2500)
}

impl GatewaySettings {
    /// Reads and checks the settings of a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, and as [`parse`](Self::parse) does; each message begins with
    /// the path of the file.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path);
        let text = text.map_err(|error| {
            SettingsError::Invalid(vec![format!("{}: {error}", path.display())])
        })?;
        Self::parse(&text).map_err(|SettingsError::Invalid(messages)| {
            let messages = messages.into_iter();
            SettingsError::Invalid(
                messages
                    .map(|message| format!("{}: {message}", path.display()))
                    .collect(),
            )
        })
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Fails with the first error of syntax or type, or else with a message for every rule that the
    /// settings break.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self = toml::from_str(text)
            .map_err(|error| SettingsError::Invalid(vec![error.to_string()]))?;
        match settings.find_broken_rules() {
            messages if messages.is_empty() => Ok(settings),
            messages => Err(SettingsError::Invalid(messages)),
        }
    }

    /// Returns whether the right to send requests depends on which entries are registered in the store: where
    /// client accounts or cold servers have limits.
    #[must_use]
    pub fn needs_exact_entries(&self) -> bool {
        self.accounts.is_enforced() || self.warmup != WarmupSettings::default()
    }

    /// Returns the address that outgoing connections are made from.
    #[must_use]
    pub fn get_source_ip(&self) -> IpAddr {
        self.listen.callers.ip()
    }

    /// Returns a message for each rule that the settings break.
    fn find_broken_rules(&self) -> Vec<String> {
        let policies = lentilcart_route::get_policy_names().join(", ");
        let shed_rules = lentilcart_route::get_shed_rule_names().join(", ");
        let (grace, lame_duck) = (self.shutdown.grace_period, self.shutdown.lame_duck);
        let bodies = self.memory.bodies;
        let bodies_text = ByteText::format(bodies.unwrap_or_default());
        // Whether each rule is broken, and its message.
        let rules = [
            (
                self.name.is_empty(),
                "name = \"\": expected a name that is not empty".to_owned(),
            ),
            (
                self.listen.max_connections == 0,
                "listen.connections = 0: expected a number above 0".to_owned(),
            ),
            (
                lame_duck >= grace,
                format!(
                    "stop.notice = {:?}: expected less than stop.grace ({:?})",
                    DurationText::format(lame_duck),
                    DurationText::format(grace)
                ),
            ),
            (
                self.retries.ratio < 0.0 || self.retries.burst < 0.0,
                "retries: expected a ratio and a burst of at least 0".to_owned(),
            ),
            (
                is_below(self.warmup.overage, 1.0) || is_below(self.warmup.slack, 0.0),
                format!(
                    "warmup: overage = {}, slack = {}: expected an overage of at least 1 and a slack of at least 0",
                    self.warmup.overage, self.warmup.slack
                ),
            ),
            (
                is_below(self.accounts.overage, 0.0) || is_below(self.accounts.slack, 0.0),
                format!(
                    "accounts: overage = {}, slack = {}: expected numbers of at least 0",
                    self.accounts.overage, self.accounts.slack
                ),
            ),
            (
                self.accounts.window == Micros::ZERO,
                "accounts.window = \"0ms\": expected a time above 0".to_owned(),
            ),
            (
                self.limits
                    .cpu_share
                    .is_some_and(|share| is_below(share, 0.0) || share == 0.0),
                "limits.cpu: expected a share of a core above 0".to_owned(),
            ),
            (
                bodies.is_some_and(|bodies| bodies < MIN_BODIES),
                format!(
                    "memory.bodies = {bodies_text:?}: expected at least {:?}",
                    ByteText::format(MIN_BODIES)
                ),
            ),
            (
                bodies.is_some_and(|bodies| bodies > self.memory.get_max_body()),
                format!(
                    "memory.bodies = {bodies_text:?}: expected at most {MAX_BODY_SHARE} of the memory of the process ({:?})",
                    bodies.map_or_else(String::new, |_| ByteText::format(self.memory.get_limit()))
                ),
            ),
            (
                self.memory.limit == Some(0),
                "memory.limit = \"0B\": expected a size above 0".to_owned(),
            ),
            (
                lentilcart_route::get_policy(&self.servers.policy).is_none(),
                format!(
                    "servers.policy = {:?}: expected one of {policies}",
                    self.servers.policy
                ),
            ),
            (
                lentilcart_route::get_shed_rule(&self.servers.shedding).is_none(),
                format!(
                    "servers.shedding = {:?}: expected one of {shed_rules}",
                    self.servers.shedding
                ),
            ),
        ];
        let rules = rules.into_iter().chain(self.store.get_rules());
        let broken = rules.filter(|(is_broken, _)| *is_broken);
        broken.map(|(_, message)| message).collect()
    }
}

/// Returns whether a value is below a bound, or no finite number.
fn is_below(value: f64, bound: f64) -> bool {
    !value.is_finite() || value < bound
}
