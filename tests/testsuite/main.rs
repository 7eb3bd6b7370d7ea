//! Tests of the settings, of the log sink, of the client of servers, of the daemon's memory and
//! of the command `explain`.

mod explain;
mod http_client;
mod idle_connections;
mod logs;
mod memory;
mod settings;
