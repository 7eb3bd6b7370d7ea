//! The servers that registered themselves, by service.

#[allow(clippy::module_inception)]
mod directory;
mod registration;

pub use self::directory::ServerDirectory;
pub use self::registration::ServerRegistration;
