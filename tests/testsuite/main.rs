//! Tests of the daemon's parts.

mod explain;
mod logs;
mod settings;
