//! The whole path in one process, for a first look.

#[allow(clippy::module_inception)]
mod demo;

pub use self::demo::demo;
