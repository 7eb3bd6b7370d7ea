//! Change tickets, each with the complete new state of every service that it sets. The routes of a
//! gateway are in `routing`.

mod class;

mod route;
mod server;
mod service;

pub use self::class::RequestClass;
pub use self::route::Route;
pub use self::server::Server;
pub use self::service::{Service, Ticket};
pub use lentilcart_route::{EjectLimits, ProbeBudget, RetryLimits};
