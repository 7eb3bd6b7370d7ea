//! Tests of the routing decisions.

mod byte_budget;
mod evacuation;
mod fair_shares;
mod hold_offs;
mod late_paced;
mod limits;
mod property;
mod rate_limits;
mod server_pool;
mod shedding;
mod slot_share;
mod spare_room;
mod warmup;
