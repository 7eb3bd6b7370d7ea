//! Tests of the settings, of the log sink and of the command `explain`.

mod explain;
mod logs;
mod settings;
