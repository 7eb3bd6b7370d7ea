//! Settings of the daemon: by flags and environment variables, or by a file for a gateway.

mod file;
mod options;
#[allow(clippy::module_inception)]
mod settings;

pub use self::file::GatewaySettings;
pub use self::options::options_help;
pub use self::settings::Settings;
