//! Tests of the daemon's parts.

mod logs;
mod settings;
