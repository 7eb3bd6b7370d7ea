//! Tests of the state protocols, the mirror, the directory, routes and ticket files.

mod claims;
mod directory;
mod kv_service;
mod lease_times;
mod members;
mod mirror;
mod owners;
mod parse;
mod routing;
mod submit;
