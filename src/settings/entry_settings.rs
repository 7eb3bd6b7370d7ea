use std::ffi::OsString;
use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use lentilcart_util::{DurationText, Name};

use super::options::{read, variable};
use crate::error::SettingsError;
use crate::platform::parse_platform_address;

/// Checked settings of the daemon.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of this host.
    pub name: Name,
    /// Data centre of this host.
    pub data_center: Name,
    /// Address of the platform's service.
    pub platform: SocketAddr,
    /// Listener for callers.
    pub callers: SocketAddr,
    /// Listener for other entries.
    pub peer: SocketAddr,
    /// Address under which other entries reach this one.
    pub peer_public: SocketAddr,
    /// Listener for operators.
    pub ops: SocketAddr,
    /// Peer addresses to try first.
    pub seeds: Vec<SocketAddr>,
    /// Address that connections are made from.
    pub source_ip: IpAddr,
    /// Time in which the platform must answer.
    pub platform_timeout: Duration,
    /// Time between heartbeats.
    pub heartbeat_interval: Duration,
    /// Silence after which another entry counts as lost.
    pub silence_timeout: Duration,
    /// Time between not being ready and closing listeners.
    pub lame_duck: Duration,
    /// Longest time for requests in flight on shutdown.
    pub drain_timeout: Duration,
    /// Largest header section, in bytes.
    pub header_bytes: usize,
    /// Time in which a header section must arrive.
    pub header_timeout: Duration,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Connections of callers open at once.
    pub max_connections: usize,
    /// Shortest time between two writes of a service's claims.
    pub claim_interval: Duration,
}

struct Values {
    values: Vec<(&'static str, String)>,
    faults: Vec<String>,
}

impl EntrySettings {
    /// Reads the settings from arguments and environment variables and checks them as a whole.
    ///
    /// # Errors
    ///
    /// Returns every fault with the setting, its value and what is allowed.
    pub fn read(
        args: Vec<OsString>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let (values, faults) = read(args, env);
        let mut v = Values { values, faults };
        let address = "an IP address and a port, such as 10.0.0.1:8080";
        let unset = SocketAddr::from(([0, 0, 0, 0], 0));
        let callers: SocketAddr = v.parse("callers", unset, address);
        let peer = v.parse("peer", unset, address);
        let settings = Self {
            name: v.name("name"),
            data_center: v.name("data-center"),
            platform: v.with("platform", unset, parse_platform_address),
            callers,
            peer,
            peer_public: v.optional("peer-public", peer, address),
            ops: v.parse("ops", unset, address),
            seeds: v.with("seeds", Vec::new(), |text| seeds(text, address)),
            source_ip: v.optional("source", callers.ip(), "an IP address, such as 10.0.0.1"),
            platform_timeout: v.span("platform-wait"),
            heartbeat_interval: v.span("heartbeat"),
            silence_timeout: v.span("silence"),
            lame_duck: v.span("lame-duck"),
            drain_timeout: v.span("drain"),
            header_bytes: v.parse("header-bytes", 32768, "a whole number of bytes"),
            header_timeout: v.span("header-wait"),
            body_bytes: v.parse("body-bytes", 0, "a whole number of bytes"),
            max_connections: v.parse("connections", 1, "a whole number above 0"),
            claim_interval: v.span("claim-every"),
        };
        // The rules between settings only make sense of values that could be read.
        if v.faults.is_empty() {
            settings.check(&mut v.faults);
        }
        match v.faults {
            faults if faults.is_empty() => Ok(settings),
            faults => Err(SettingsError::Faults(faults)),
        }
    }

    fn check(&self, faults: &mut Vec<String>) {
        if self.silence_timeout < self.heartbeat_interval * 3 {
            let (silence, heartbeat) = (self.silence_timeout, self.heartbeat_interval);
            faults.push(format!(
                "--silence = {silence:?}: expected at least 3 times --heartbeat ({heartbeat:?})"
            ));
        }
        if self.header_bytes < 8192 {
            let bytes = self.header_bytes;
            faults.push(format!(
                "--header-bytes = {bytes}: expected at least 8192 bytes"
            ));
        }
        if self.max_connections == 0 {
            faults.push("--connections = 0: expected a whole number above 0".to_owned());
        }
    }
}

impl Values {
    fn with<T>(
        &mut self,
        flag: &'static str,
        fallback: T,
        read: impl FnOnce(&str) -> Result<T, String>,
    ) -> T {
        let value = self.values.iter().find(|(name, _)| *name == flag);
        // A missing value was reported when the arguments were read.
        let Some((_, value)) = value else {
            return fallback;
        };
        match read(value) {
            Ok(read) => read,
            Err(reason) => {
                let variable = variable(flag);
                self.faults
                    .push(format!("--{flag} ({variable}) = {value:?}: {reason}"));
                fallback
            }
        }
    }

    fn parse<T: FromStr>(&mut self, flag: &'static str, fallback: T, allowed: impl Display) -> T {
        self.with(flag, fallback, |text| {
            text.parse().map_err(|_| format!("expected {allowed}"))
        })
    }

    fn optional<T: FromStr>(&mut self, flag: &'static str, default: T, allowed: &str) -> T {
        match self.values.iter().find(|(name, _)| *name == flag) {
            Some((_, text)) if text.is_empty() => default,
            _ => self.parse(flag, default, allowed),
        }
    }

    fn name(&mut self, flag: &'static str) -> Name {
        self.with(flag, Name::default(), |text| match text {
            "" => Err("expected a name that is not empty".to_owned()),
            text => Ok(text.into()),
        })
    }

    fn span(&mut self, flag: &'static str) -> Duration {
        let read = |text: &str| {
            let length = DurationText::parse(text).map(Duration::from);
            length.map_err(|_| "expected a time with its unit, such as 250ms".to_owned())
        };
        self.with(flag, Duration::from_secs(1), read)
    }
}

fn seeds(text: &str, allowed: &str) -> Result<Vec<SocketAddr>, String> {
    let parts = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    let parse = |part: &str| {
        part.parse()
            .map_err(|_| format!("{part:?}: expected {allowed}"))
    };
    parts.map(parse).collect()
}
