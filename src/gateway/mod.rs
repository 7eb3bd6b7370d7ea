//! A gateway: an entry whose routes and servers come from the platform's store.
//!
//! The platform is the environment that entries and servers run in: it provides the store and checks
//! whether an entry is ready. A permit allows one attempt to be sent to one server; the owner of a
//! service is the entry of a data centre that grants its permits there. Members are all known entries,
//! this one included; peers are the others.
//!
//! Requests: `serve` reads a caller's request and matches a route, `ahead` starts those that callers send
//! ahead before their turn, `body_memory` bounds the memory of all bodies, `identity` finds the client account of
//! a request by its key, `attempt` sends it and retries,
//! `permit_table` gets the permit for each attempt, `on_demand_probe` probes the chosen server, if its
//! load report is old, before the request is sent, `response` classifies what the server sends back,
//! `notice` reads what the server says of itself there, and `error_reply` is the reply if no server's response
//! can be passed on.
//!
//! State that requests read: `mirror` watches the store, `freshness` tracks how
//! old the knowledge is that the mirrors are complete, `changes` puts routes, servers and entries in
//! force, `evacuations` the evacuations of data centres, `store_contact` tracks whether the store answers, `peers`
//! and `datagram` exchange state with other entries, `mirror_server` serves mirrors to them, `catch_up` fetches
//! theirs, `compression` makes these small, `probe` keeps the load of servers current, `register` keeps this entry
//! listed in the store, `warmup` limits the requests of cold servers, and `tick` runs periodic work.
//!
//! `account_limits` takes credit for the requests of client accounts with a limit, and exchanges it with
//! other entries.
//!
//! `handle` starts and stops a gateway, `drain` has the times of a stop, and `ops` serves its health and metrics.

mod account_limits;
mod ahead;
mod attempt;
mod attempt_log;
mod body_memory;
mod catch_up;
mod changes;
mod compression;
mod datagram;
mod drain;
mod error_reply;
mod evacuations;
mod freshness;
#[allow(clippy::module_inception)]
mod gateway;
mod handle;
mod identity;
mod listing_size;
mod mirror;
mod mirror_server;
mod notice;
mod on_demand_probe;
mod ops;
mod peers;
mod permit_table;
mod probe;
mod register;
mod remote_bytes;
mod response;
mod serve;
mod store_contact;
mod tick;
mod warmup;

pub use self::handle::{GatewayHandle, start_gateway};
pub use self::response::{ResponseVerdict, classify_response};
