//! Settings of the daemon: flags and environment variables, or a TOML file for a gateway.

mod entry_settings;
mod gateway_settings;
mod options;

pub use self::entry_settings::EntrySettings;
pub use self::gateway_settings::{GatewaySettings, MemorySettings};
pub use self::options::options_help;
