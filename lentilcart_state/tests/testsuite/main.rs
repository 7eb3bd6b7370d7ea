//! Tests of the state protocols, the mirror, the directory, routes and ticket files.

mod claims;
mod credit;
mod credit_designs;
mod credit_world;
mod directory;
mod earlier_mirror;
mod evacuations;
mod fetch_plan;
mod freshness;
mod kv_service;
mod lease_times;
mod members;
mod mirror;
mod missing_changes;
mod owners;
mod pacer;
mod parse;
mod routing;
mod submit;
