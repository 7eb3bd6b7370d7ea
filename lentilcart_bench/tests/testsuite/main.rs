//! Integration tests: deployments of separate processes, command lines, and the simulated model.

mod bad_input;
mod cluster;
mod cold_data_center;
mod cold_servers;
mod examples;
mod layout;
mod load;
mod model;
mod promises;
mod scenarios;
mod script;
mod shed_model;
mod soak;
mod whole_path;
