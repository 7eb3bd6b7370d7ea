//! Tests of the routing decisions.

mod limits;
mod paced;
mod pool;
mod property;
