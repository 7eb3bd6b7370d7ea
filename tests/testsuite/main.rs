//! Tests of the settings, of the log sink, of the clients of servers and of the platform, of the links between
//! entries and their requests for tickets, of the daemon's memory, and of the command line.

mod command_line;
mod explain;
mod http_client;
mod idle_connections;
mod logs;
mod memory;
mod peer_links;
mod peer_messages;
mod platform_client;
mod settings;
mod ticket_requests;
