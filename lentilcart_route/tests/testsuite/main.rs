//! Tests of the routing decisions.

mod limits;
mod pool;
mod property;
