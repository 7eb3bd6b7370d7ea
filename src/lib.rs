//! lentilcart: a load balancer for servers whose load shifts in milliseconds.
//!
//! The library implements the daemon `lentilcartd` and the command line `lentilcart`; the two
//! binaries only start it; `lentilcartd` also handles signals and reloads settings. The daemon runs an [`entry`], which takes its services
//! from change tickets, or a [`gateway`], an entry that takes hosts, routes and servers from the store
//! of the users' platform instead. [`route`] makes the decisions about requests and
//! servers; [`state`] holds what the entries agree on.

pub mod cli;
pub mod entry;
mod error;
pub mod gateway;
mod http;
pub mod ops;
mod peer;
pub mod platform;
mod settings;
mod util;

pub use lentilcart_route as route;
pub use lentilcart_state as state;

pub use self::error::{DaemonError, SettingsError};
pub use self::http::{BoxError, ConnectionUse, HttpBody, HttpClient, SendError, full_body};
pub use self::settings::{EntrySettings, GatewaySettings, MemorySettings, options_help};
pub use self::util::{Clock, LogSink, LogWriter, init_logs, init_logs_to};
