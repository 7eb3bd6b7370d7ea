//! Tests of the state protocols.

mod claims;
mod members;
mod parse;
mod store;
mod submit;
