//! Tests of the state protocols, the mirror, the directory, routes and ticket files.

mod claims;
mod directory;
mod members;
mod mirror;
mod parse;
mod routing;
mod store;
mod submit;
