//! Tests of the state protocols.

mod claims;
mod directory;
mod members;
mod mirror;
mod parse;
mod routing;
mod store;
mod submit;
