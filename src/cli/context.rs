use std::ffi::OsString;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::Duration;

use futures::future::join_all;
use http_body_util::BodyExt;
use hyper::Request;
use lentilcart_state::{AppliedState, CatchUp};
use lentilcart_util::DurationText;
use pico_args::Arguments;
use serde::de::DeserializeOwned;
use tokio_util::task::TaskTracker;

use super::error::CliError;
use crate::http::{HttpClient, empty_body};
use crate::platform::{
    HostRole, PlatformClient, WatchOutcome, create_platform_client, parse_platform_address,
    run_protocol,
};

/// Time within which the platform must answer a call.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);
/// Time within which an entry must answer.
const ENTRY_TIMEOUT: Duration = Duration::from_secs(2);

/// Clients and flags that most commands share.
pub(super) struct Context {
    pub(super) platform: PlatformClient,
    /// Whether to print JSON instead of text.
    pub(super) json: bool,
    /// Addresses at which the entries serve operators; empty to take them from the platform's host
    /// list.
    entries: Vec<SocketAddr>,
    http_client: HttpClient,
}

/// The values of the flags that most commands share.
pub(super) struct SharedFlags {
    platform: Option<SocketAddr>,
    entries: Vec<SocketAddr>,
    pub(super) json: bool,
}

impl SharedFlags {
    /// Reads the shared flags and takes them out of `args`; none of them is required.
    pub(super) fn read(args: &mut Arguments) -> Result<Self, CliError> {
        let platform = read_flag(args, "--platform", "LENTILCART_PLATFORM")?;
        let parse = |text: String| {
            parse_platform_address(&text)
                .map_err(|reason| CliError::Usage(format!("--platform = {text:?}: {reason}")))
        };
        let platform = platform.map(parse).transpose()?;
        let entries = read_flag(args, "--entries", "LENTILCART_ENTRIES")?.unwrap_or_default();
        let parse = |part: &str| {
            let reason = "expected an IP address and a port, such as 10.0.0.1:9901";
            let error = || CliError::Usage(format!("--entries = {part:?}: {reason}"));
            part.trim().parse().map_err(|_| error())
        };
        let entries = entries
            .split(',')
            .filter(|part| !part.is_empty())
            .map(parse);
        Ok(Self {
            platform,
            entries: entries.collect::<Result<_, _>>()?,
            json: args.contains("--json"),
        })
    }
}

impl Context {
    /// Reads the shared flags and takes them out of `args`; `--platform` is required.
    pub(super) fn read(args: &mut Arguments) -> Result<Self, CliError> {
        SharedFlags::read(args)?.try_into()
    }

    /// Returns the state in force, read from the platform.
    pub(super) async fn get_state(&self) -> Result<AppliedState, CliError> {
        let mut catch_up = CatchUp::new(AppliedState::default(), None);
        let (state, _) = run_protocol(&self.platform, |reply| catch_up.step(reply)).await?;
        Ok(state)
    }

    /// Returns the addresses at which the entries serve operators.
    pub(super) async fn get_entry_addresses(&self) -> Result<Vec<SocketAddr>, CliError> {
        if !self.entries.is_empty() {
            return Ok(self.entries.clone());
        }
        match (self.platform.watch_hosts)((0, Duration::ZERO)).await {
            WatchOutcome::Changed(list) => {
                let entries = list
                    .hosts
                    .iter()
                    .filter(|host| host.role == HostRole::Entry);
                Ok(entries.filter_map(|host| host.ops).collect())
            }
            WatchOutcome::Unchanged => Ok(Vec::new()),
            WatchOutcome::Failed(reason) => Err(CliError::Failed(format!(
                "{reason}; give --entries so that the platform's host list is not needed"
            ))),
        }
    }

    /// Sends a GET request to every entry at once; returns for each entry its address and its
    /// response, or the reason why there is none.
    pub(super) async fn query_entries<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Vec<(SocketAddr, Result<T, String>)>, CliError> {
        let entries = self.get_entry_addresses().await?;
        let queries = entries.into_iter().map(|address| async move {
            let result = tokio::time::timeout(ENTRY_TIMEOUT, self.query_entry(address, path)).await;
            (
                address,
                result.unwrap_or_else(|_| Err(format!("no response within {ENTRY_TIMEOUT:?}"))),
            )
        });
        Ok(join_all(queries).await)
    }

    async fn query_entry<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, String> {
        let request = Request::get(path)
            .header("host", address.to_string())
            .body(empty_body());
        let request = request.map_err(|e| e.to_string())?;
        let response = self
            .http_client
            .send(address, request)
            .await
            .map_err(|e| e.to_string())?;
        let body = response.into_streamed(|_| ()).into_body().collect().await;
        let body = body.map_err(|e| e.to_string())?.to_bytes();
        serde_json::from_slice(&body).map_err(|e| format!("unreadable response: {e}"))
    }
}

impl TryFrom<SharedFlags> for Context {
    type Error = CliError;

    /// Creates the clients; fails where the address of the platform is missing.
    fn try_from(flags: SharedFlags) -> Result<Self, CliError> {
        let address = flags.platform.ok_or_else(|| {
            CliError::Usage("--platform: missing; give the flag or LENTILCART_PLATFORM".to_owned())
        })?;
        let tasks = TaskTracker::new();
        let source = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
        Ok(Self {
            platform: create_platform_client(address, source, PLATFORM_TIMEOUT, tasks.clone()),
            json: flags.json,
            entries: flags.entries,
            http_client: HttpClient::new(source, tasks),
        })
    }
}

/// Returns the value of a flag or else of its environment variable; `None` if neither is set, or if
/// the value is empty.
///
/// `variable` is empty for a flag that has no environment variable.
pub(super) fn read_flag(
    args: &mut Arguments,
    name: &'static str,
    variable: &str,
) -> Result<Option<String>, CliError> {
    let value: Option<String> = args.opt_value_from_str(name).map_err(to_usage_error)?;
    let value = value.or_else(|| {
        std::env::var(variable)
            .ok()
            .filter(|_| !variable.is_empty())
    });
    Ok(value.filter(|text| !text.is_empty()))
}

/// Returns the value of a flag that is a time with its unit.
pub(super) fn read_duration_flag(
    args: &mut Arguments,
    name: &'static str,
    default: Duration,
) -> Result<Duration, CliError> {
    match read_flag(args, name, "")? {
        None => Ok(default),
        Some(text) => DurationText::parse(&text).map(Duration::from).map_err(|_| {
            CliError::Usage(format!(
                "{name} = {text:?}: expected a time with its unit, as in 10s"
            ))
        }),
    }
}

/// Returns the positional arguments; a flag that is still among them is an error.
pub(super) fn read_positionals(args: Arguments) -> Result<Vec<String>, CliError> {
    let positionals = args
        .finish()
        .into_iter()
        .map(|arg: OsString| arg.to_string_lossy().into_owned());
    let positionals: Vec<String> = positionals.collect();
    match positionals
        .iter()
        .find(|arg| arg.starts_with('-') && *arg != "-")
    {
        Some(unknown) => Err(CliError::Usage(format!(
            "{unknown}: unknown flag; see --help"
        ))),
        None => Ok(positionals),
    }
}

pub(super) fn to_usage_error(error: impl std::fmt::Display) -> CliError {
    CliError::Usage(error.to_string())
}
