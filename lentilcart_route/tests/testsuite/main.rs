//! Tests of the routing decisions.

mod late_paced;
mod limits;
mod property;
mod server_pool;
