//! What operators and the platform's balancer read from a daemon.

mod metrics;
mod serve;
mod view;

pub use self::metrics::install_metrics;
pub(crate) use self::metrics::{render_metrics, run_metrics_upkeep};
pub(crate) use self::serve::serve_operator;
pub use self::view::{ServedView, ServerView, ServiceView, StatusView};
