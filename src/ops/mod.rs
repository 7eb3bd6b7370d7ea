//! Endpoints of an entry for operators and for the platform's readiness checks.

mod metrics;
mod serve;
mod views;

pub use self::metrics::install_metrics;
pub(crate) use self::metrics::{render_metrics, run_metrics_upkeep};
pub(crate) use self::serve::serve_operator;
pub use self::views::{ServedView, ServerView, ServiceView, StatusView};
