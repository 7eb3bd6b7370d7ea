//! The servers that registered themselves, by service.

#[allow(clippy::module_inception)]
mod directory;
mod instance;

pub use self::directory::Directory;
pub use self::instance::Instance;
