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

const PLATFORM_WAIT: Duration = Duration::from_secs(5);
const ENTRY_WAIT: Duration = Duration::from_secs(2);

/// What every command needs.
pub(super) struct Context {
    pub(super) platform: PlatformClient,
    pub(super) json: bool,
    entries: Vec<SocketAddr>,
    http_client: HttpClient,
}

impl Context {
    /// Reads the flags that all commands share.
    pub(super) fn read(args: &mut Arguments) -> Result<Self, CliError> {
        let platform = flag(args, "--platform", "LENTILCART_PLATFORM")?;
        let platform = platform.ok_or_else(|| {
            CliError::Usage("--platform: missing; give the flag or LENTILCART_PLATFORM".to_owned())
        })?;
        let address = parse_platform_address(&platform)
            .map_err(|reason| CliError::Usage(format!("--platform = {platform:?}: {reason}")))?;
        let entries = flag(args, "--entries", "LENTILCART_ENTRIES")?.unwrap_or_default();
        let parse = |part: &str| {
            let reason = "expected an IP address and a port, such as 10.0.0.1:9901";
            let fault = || CliError::Usage(format!("--entries = {part:?}: {reason}"));
            part.trim().parse().map_err(|_| fault())
        };
        let entries = entries
            .split(',')
            .filter(|part| !part.is_empty())
            .map(parse);
        let entries = entries.collect::<Result<_, _>>()?;
        let tasks = TaskTracker::new();
        let source = IpAddr::V4(Ipv4Addr::UNSPECIFIED);
        Ok(Self {
            platform: create_platform_client(address, source, PLATFORM_WAIT, tasks.clone()),
            json: args.contains("--json"),
            entries,
            http_client: HttpClient::new(source, tasks),
        })
    }

    /// Returns the state that the platform holds.
    pub(super) async fn get_state(&self) -> Result<AppliedState, CliError> {
        let mut follow = CatchUp::new(AppliedState::default(), None);
        let (state, _) = run_protocol(&self.platform, |reply| follow.step(reply)).await?;
        Ok(state)
    }

    /// Returns the operators' addresses of the entries.
    pub(super) async fn get_entries(&self) -> Result<Vec<SocketAddr>, CliError> {
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
            WatchOutcome::Failed(reason) => Err(CliError::Refused(format!(
                "{reason}; name the entries with --entries to read them without the platform"
            ))),
        }
    }

    /// Asks every entry, all at once; each gives its answer or the reason why there is none.
    pub(super) async fn ask_entries<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<Vec<(SocketAddr, Result<T, String>)>, CliError> {
        let entries = self.get_entries().await?;
        let asks = entries.into_iter().map(|address| async move {
            let asked = tokio::time::timeout(ENTRY_WAIT, self.ask_entry(address, path)).await;
            (
                address,
                asked.unwrap_or_else(|_| Err(format!("no answer in {ENTRY_WAIT:?}"))),
            )
        });
        Ok(join_all(asks).await)
    }

    async fn ask_entry<T: DeserializeOwned>(
        &self,
        address: SocketAddr,
        path: &str,
    ) -> Result<T, String> {
        let request = Request::get(path)
            .header("host", address.to_string())
            .body(empty_body());
        let request = request.map_err(|e| e.to_string())?;
        let reply = self
            .http_client
            .send(address, request)
            .await
            .map_err(|e| e.to_string())?;
        let body = reply.into_streamed(|_| ()).into_body().collect().await;
        let body = body.map_err(|e| e.to_string())?.to_bytes();
        serde_json::from_slice(&body).map_err(|e| format!("unreadable answer: {e}"))
    }
}

/// Returns the value of a flag or of its environment variable.
pub(super) fn flag(
    args: &mut Arguments,
    name: &'static str,
    variable: &str,
) -> Result<Option<String>, CliError> {
    let given: Option<String> = args.opt_value_from_str(name).map_err(usage)?;
    let given = given.or_else(|| {
        std::env::var(variable)
            .ok()
            .filter(|_| !variable.is_empty())
    });
    Ok(given.filter(|text| !text.is_empty()))
}

/// Returns the value of a flag that is a time.
pub(super) fn span_flag(
    args: &mut Arguments,
    name: &'static str,
    default: Duration,
) -> Result<Duration, CliError> {
    match flag(args, name, "")? {
        None => Ok(default),
        Some(text) => DurationText::parse(&text).map(Duration::from).map_err(|_| {
            CliError::Usage(format!(
                "{name} = {text:?}: expected a time with its unit, as in 10s"
            ))
        }),
    }
}

/// Returns the free arguments; a flag that nothing has read is an error.
pub(super) fn rest(args: Arguments) -> Result<Vec<String>, CliError> {
    let rest = args
        .finish()
        .into_iter()
        .map(|arg: OsString| arg.to_string_lossy().into_owned());
    let rest: Vec<String> = rest.collect();
    match rest.iter().find(|arg| arg.starts_with('-') && *arg != "-") {
        Some(unknown) => Err(CliError::Usage(format!(
            "{unknown}: unknown flag; see --help"
        ))),
        None => Ok(rest),
    }
}

pub(super) fn usage(error: impl std::fmt::Display) -> CliError {
    CliError::Usage(error.to_string())
}
