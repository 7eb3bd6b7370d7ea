use std::net::{IpAddr, SocketAddr};
use std::path::Path;

use lentilcart_util::{DurationText, Micros, Name};
use serde::Deserialize;
use serde_with::serde_as;

use crate::error::SettingsError;

/// Settings of a gateway: an entry whose routes and servers come from the platform's store.
///
/// They are read from a TOML file; times carry a unit.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of this host.
    pub name: Name,
    /// Data centre of this host.
    pub data_center: Name,
    /// Listeners.
    pub listen: ListenSettings,
    /// Other entries.
    #[serde(default)]
    pub peers: PeerSettings,
    /// Store of the platform.
    pub store: StoreSettings,
    /// Connections to servers.
    #[serde(default)]
    pub servers: ServerSettings,
    /// Budget of retries of a service, all entries together.
    pub retries: RetrySettings,
    /// Shutdown.
    #[serde(rename = "stop")]
    pub shutdown: ShutdownSettings,
}

/// Addresses that the process listens on.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers.
    pub callers: SocketAddr,
    /// The platform's question whether this entry takes connections.
    pub ready: SocketAddr,
    /// Other entries, over TCP and UDP.
    pub peer: SocketAddr,
    /// Metrics and read-back for operators.
    pub ops: SocketAddr,
    /// Connections of callers open at once.
    #[serde(rename = "connections")]
    pub max_connections: usize,
}

/// How entries hear of each other.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct PeerSettings {
    /// Hosts to try before the store has told any; their port is that of `listen.peer`.
    pub seeds: Vec<SocketAddr>,
    /// Time between beats.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "beat")]
    pub heartbeat_interval: Micros,
    /// Time between two digests of the servers' load.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "digest")]
    pub digest_interval: Micros,
    /// Silence after which an entry counts as lost.
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

/// How the store is used.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct StoreSettings {
    /// Address.
    pub address: SocketAddr,
    /// Time in which a call must be answered.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_timeout")]
    pub timeout: Micros,
    /// Longest wait of a watch.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_watch")]
    #[serde(rename = "watch")]
    pub watch_timeout: Micros,
    /// Length of the lease under which this entry registers.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_lease")]
    #[serde(rename = "lease")]
    pub lease_ttl: Micros,
    /// Time between renewals of that lease, each of which also shows that the store answers.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_renew")]
    #[serde(rename = "renew")]
    pub renew_interval: Micros,
}

const fn default_timeout() -> Micros {
    Micros::from_millis(600)
}

const fn default_watch() -> Micros {
    Micros::from_millis(25_000)
}

const fn default_lease() -> Micros {
    Micros::from_millis(9000)
}

const fn default_renew() -> Micros {
    Micros::from_millis(500)
}

/// Connections to servers and questions about their load.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct ServerSettings {
    /// Name of the policy that chooses a server.
    pub policy: Name,
    /// Whether one entry of a data centre gives the requests of a service their servers; otherwise
    /// each entry does.
    #[serde(rename = "desks")]
    pub owner_dispatch: bool,
    /// Longest time until a connection is established.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "connect")]
    pub connect_timeout: Micros,
    /// Longest time that a connection may have been idle before it takes a request that may be
    /// repeated.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "idle")]
    pub max_idle: Micros,
    /// The same for requests that run at most once: a server may have dropped the connection.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "idle-once")]
    pub max_idle_once: Micros,
    /// Requests beyond its slots that a server may be given.
    pub overcommit: u32,
    /// Slots of each server that are left free.
    pub reserve: u32,
    /// Slots of each server in another data centre that are left to the requests of that one.
    #[serde(rename = "far-reserve")]
    pub remote_reserve: u32,
    /// Cost of a server in another data centre, as a probability of a late answer, from 0 to 1.
    #[serde(rename = "far-cost")]
    pub remote_cost: f64,
    /// Largest share of the requests that may be sent a second time before the first answer.
    #[serde(rename = "hedge")]
    pub hedge_ratio: f64,
    /// Time between two questions about a server's load, all entries together.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "probe")]
    pub probe_interval: Micros,
    /// Time in which a server must answer such a question.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "probe-wait")]
    pub probe_timeout: Micros,
    /// Age of a server's last report from which it is asked before it gets a request.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "check-age")]
    pub preflight_age: Micros,
    /// Time in which it must answer then; otherwise another server is taken.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "check-wait")]
    pub preflight_timeout: Micros,
    /// Age of a server's last report from which it is asked while requests wait for a server.
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
            max_idle: Micros::from_millis(4000),
            max_idle_once: Micros::from_millis(150),
            overcommit: 0,
            reserve: 1,
            remote_reserve: 1,
            remote_cost: 0.25,
            hedge_ratio: 0.05,
            probe_interval: Micros::from_millis(200),
            probe_timeout: Micros::from_millis(250),
            preflight_age: Micros::from_millis(10),
            preflight_timeout: Micros::from_millis(25),
            queued_age: Micros::from_millis(40),
        }
    }
}

/// Budget of retries of a service, all entries together.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct RetrySettings {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond that.
    pub burst: f64,
}

/// Shutdown.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct ShutdownSettings {
    /// Time after which the platform kills a process that was told to stop.
    #[serde_as(as = "DurationText")]
    #[serde(rename = "grace")]
    pub grace_period: Micros,
    /// Time until no new connections come to an entry that says that it is not ready.
    #[serde_as(as = "DurationText")]
    #[serde(default = "default_notice")]
    #[serde(rename = "notice")]
    pub lame_duck: Micros,
}

const fn default_notice() -> Micros {
    Micros::from_millis(2500)
}

impl GatewaySettings {
    /// Reads and checks the settings of a file.
    ///
    /// # Errors
    ///
    /// Fails with the file and every fault in it.
    pub fn read(path: &Path) -> Result<Self, SettingsError> {
        let text = std::fs::read_to_string(path);
        let text = text
            .map_err(|error| SettingsError::Faults(vec![format!("{}: {error}", path.display())]))?;
        Self::parse(&text).map_err(|SettingsError::Faults(faults)| {
            let faults = faults.into_iter();
            SettingsError::Faults(
                faults
                    .map(|fault| format!("{}: {fault}", path.display()))
                    .collect(),
            )
        })
    }

    /// Parses and checks settings.
    ///
    /// # Errors
    ///
    /// Fails with every fault: the setting, its value and what is allowed.
    pub fn parse(text: &str) -> Result<Self, SettingsError> {
        let settings: Self =
            toml::from_str(text).map_err(|error| SettingsError::Faults(vec![error.to_string()]))?;
        match settings.get_faults() {
            faults if faults.is_empty() => Ok(settings),
            faults => Err(SettingsError::Faults(faults)),
        }
    }

    /// Returns the address that connections are made from.
    #[must_use]
    pub fn get_source_ip(&self) -> IpAddr {
        self.listen.callers.ip()
    }

    fn get_faults(&self) -> Vec<String> {
        let policies = lentilcart_route::get_policy_names().join(", ");
        let (lease, renew) = (self.store.lease_ttl, self.store.renew_interval);
        let (grace, notice) = (self.shutdown.grace_period, self.shutdown.lame_duck);
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
                lease < renew + renew,
                format!(
                    "store.lease = {:?}: expected at least twice store.renew ({:?})",
                    DurationText::format(lease),
                    DurationText::format(renew)
                ),
            ),
            (
                notice >= grace,
                format!(
                    "stop.notice = {:?}: expected less than stop.grace ({:?})",
                    DurationText::format(notice),
                    DurationText::format(grace)
                ),
            ),
            (
                self.retries.ratio < 0.0 || self.retries.burst < 0.0,
                "retries: expected numbers from 0".to_owned(),
            ),
            (
                lentilcart_route::get_policy(&self.servers.policy).is_none(),
                format!(
                    "servers.policy = {:?}: expected one of {policies}",
                    self.servers.policy
                ),
            ),
        ];
        let broken = rules.into_iter().filter(|(is_broken, _)| *is_broken);
        broken.map(|(_, fault)| fault).collect()
    }
}
