//! Tests of the state protocols, the mirror, the directory, routes and ticket files.

mod claims;
mod directory;
mod kv_service;
mod members;
mod mirror;
mod pacer;
mod parse;
mod routing;
mod submit;
