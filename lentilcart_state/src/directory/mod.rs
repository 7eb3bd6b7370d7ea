//! The servers that are registered in the store.

#[allow(clippy::module_inception)]
mod directory;
mod registration;

pub use self::directory::ServerDirectory;
pub use self::registration::ServerRegistration;
