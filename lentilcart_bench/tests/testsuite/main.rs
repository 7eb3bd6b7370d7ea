//! Tests of the whole system, run as separate processes.

mod bad_input;
mod cluster;
mod examples;
mod load;
mod model;
mod scenarios;
mod script;
mod whole_path;
