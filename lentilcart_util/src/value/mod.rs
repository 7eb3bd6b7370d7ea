//! Names of services, hosts, servers and data centres.

mod name;

pub use self::name::Name;
