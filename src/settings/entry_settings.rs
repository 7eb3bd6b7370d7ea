use std::ffi::OsString;
use std::fmt::Display;
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use lentilcart_util::{DurationText, Name};

use super::options::{get_variable_name, read_options};
use crate::error::SettingsError;
use crate::platform::parse_platform_address;

/// Settings of an entry, read from flags and environment variables and checked.
#[derive(Debug, Clone)]
pub struct EntrySettings {
    /// Name of this host.
    pub name: Name,
    /// Data centre of this host.
    pub data_center: Name,
    /// Address of the platform.
    pub platform: SocketAddr,
    /// Address that serves callers.
    pub callers: SocketAddr,
    /// Address that serves other entries.
    pub peer: SocketAddr,
    /// Address under which other entries reach this one.
    pub peer_public: SocketAddr,
    /// Address that serves operators.
    pub ops: SocketAddr,
    /// Peer addresses of entries to contact before any other entry is known.
    pub seeds: Vec<SocketAddr>,
    /// Address that outgoing connections are made from.
    pub source_ip: IpAddr,
    /// Time within which the platform must answer a call.
    pub platform_timeout: Duration,
    /// Time between two heartbeats.
    pub heartbeat_interval: Duration,
    /// Time without a heartbeat after which another entry counts as lost.
    pub silence_timeout: Duration,
    /// Time between the report that this entry is not ready and the closing of its listeners.
    pub lame_duck: Duration,
    /// Time within which requests in flight must finish on shutdown.
    pub drain_timeout: Duration,
    /// Largest header section of a request, in bytes.
    pub header_bytes: usize,
    /// Time within which the header section of a request must arrive; HTTP/1.1 only.
    pub header_timeout: Duration,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Largest number of connections of callers that are open at once.
    pub max_connections: usize,
    /// Shortest time between the starts of two writes to the platform of the claims of a service;
    /// a claim reserves the idempotency key of a request.
    pub claim_interval: Duration,
}

/// Parses the values of the settings and collects the errors in them.
struct SettingsParser {
    /// The flag of each setting, without dashes, and its value.
    values: Vec<(&'static str, String)>,
    errors: Vec<String>,
}

impl EntrySettings {
    /// Reads the settings from arguments and environment variables and checks them as a whole.
    ///
    /// # Errors
    ///
    /// Fails with a message for every flag that is missing, unknown or not valid, or else with a
    /// message for every rule that the settings break.
    pub fn read(
        args: Vec<OsString>,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<Self, SettingsError> {
        let (values, errors) = read_options(args, env);
        let mut v = SettingsParser { values, errors };
        let address = "an IP address and a port, such as 10.0.0.1:8080";
        let fallback = SocketAddr::from(([0, 0, 0, 0], 0));
        let callers: SocketAddr = v.parse("callers", fallback, address);
        let peer = v.parse("peer", fallback, address);
        let settings = Self {
            name: v.parse_name("name"),
            data_center: v.parse_name("data-center"),
            platform: v.parse_with("platform", fallback, parse_platform_address),
            callers,
            peer,
            peer_public: v.parse_optional("peer-public", peer, address),
            ops: v.parse("ops", fallback, address),
            seeds: v.parse_with("seeds", Vec::new(), |text| parse_seeds(text, address)),
            source_ip: v.parse_optional("source", callers.ip(), "an IP address, such as 10.0.0.1"),
            platform_timeout: v.parse_duration("platform-wait"),
            heartbeat_interval: v.parse_duration("heartbeat"),
            silence_timeout: v.parse_duration("silence"),
            lame_duck: v.parse_duration("lame-duck"),
            drain_timeout: v.parse_duration("drain"),
            header_bytes: v.parse("header-bytes", 32768, "a whole number of bytes"),
            header_timeout: v.parse_duration("header-wait"),
            body_bytes: v.parse("body-bytes", 0, "a whole number of bytes"),
            max_connections: v.parse("connections", 1, "a whole number above 0"),
            claim_interval: v.parse_duration("claim-every"),
        };
        // The rules between settings apply only if every value could be parsed.
        if v.errors.is_empty() {
            settings.add_broken_rules(&mut v.errors);
        }
        match v.errors {
            errors if errors.is_empty() => Ok(settings),
            errors => Err(SettingsError::Invalid(errors)),
        }
    }

    /// Adds a message to `errors` for each rule that the settings break.
    fn add_broken_rules(&self, errors: &mut Vec<String>) {
        if self.silence_timeout < self.heartbeat_interval * 3 {
            let (silence, heartbeat) = (self.silence_timeout, self.heartbeat_interval);
            errors.push(format!(
                "--silence = {silence:?}: expected at least 3 times --heartbeat ({heartbeat:?})"
            ));
        }
        // hyper panics if its buffer is smaller than 8192 bytes.
        if self.header_bytes < 8192 {
            let bytes = self.header_bytes;
            errors.push(format!(
                "--header-bytes = {bytes}: expected at least 8192 bytes"
            ));
        }
        if self.max_connections == 0 {
            errors.push("--connections = 0: expected a whole number above 0".to_owned());
        }
    }
}

impl SettingsParser {
    /// Parses the value of a flag with `parse`; returns `fallback` after an error.
    fn parse_with<T>(
        &mut self,
        flag: &'static str,
        fallback: T,
        parse: impl FnOnce(&str) -> Result<T, String>,
    ) -> T {
        let value = self.values.iter().find(|(name, _)| *name == flag);
        // `read_options` has already reported a missing value.
        let Some((_, value)) = value else {
            return fallback;
        };
        match parse(value) {
            Ok(parsed) => parsed,
            Err(reason) => {
                let variable = get_variable_name(flag);
                self.errors
                    .push(format!("--{flag} ({variable}) = {value:?}: {reason}"));
                fallback
            }
        }
    }

    /// Parses the value of a flag; `expected` says in the error what is valid.
    fn parse<T: FromStr>(&mut self, flag: &'static str, fallback: T, expected: impl Display) -> T {
        self.parse_with(flag, fallback, |text| {
            text.parse().map_err(|_| format!("expected {expected}"))
        })
    }

    /// Parses the value of a flag, or returns `default` if it is empty.
    fn parse_optional<T: FromStr>(&mut self, flag: &'static str, default: T, expected: &str) -> T {
        match self.values.iter().find(|(name, _)| *name == flag) {
            Some((_, text)) if text.is_empty() => default,
            _ => self.parse(flag, default, expected),
        }
    }

    /// Parses a name that must not be empty.
    fn parse_name(&mut self, flag: &'static str) -> Name {
        self.parse_with(flag, Name::default(), |text| match text {
            "" => Err("expected a name that is not empty".to_owned()),
            text => Ok(text.into()),
        })
    }

    /// Parses a time with its unit.
    fn parse_duration(&mut self, flag: &'static str) -> Duration {
        let parse = |text: &str| {
            let duration = DurationText::parse(text).map(Duration::from);
            duration.map_err(|_| "expected a time with its unit, such as 250ms".to_owned())
        };
        self.parse_with(flag, Duration::from_secs(1), parse)
    }
}

/// Parses a list of addresses that are separated by commas.
fn parse_seeds(text: &str, expected: &str) -> Result<Vec<SocketAddr>, String> {
    let parts = text
        .split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty());
    let parse = |part: &str| {
        part.parse()
            .map_err(|_| format!("{part:?}: expected {expected}"))
    };
    parts.map(parse).collect()
}
