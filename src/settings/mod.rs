//! Settings of the daemon, by flags and environment variables.

mod options;
#[allow(clippy::module_inception)]
mod settings;

pub use self::options::options_help;
pub use self::settings::Settings;
