//! Demonstration of the whole request path in one process.

#[allow(clippy::module_inception)]
mod demo;

pub use self::demo::run_demo;
