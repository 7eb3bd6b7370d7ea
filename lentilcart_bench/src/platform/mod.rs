//! Stand-in of the platform's service.

mod faults;
mod service;
mod store;

pub use self::faults::Faults;
pub use self::service::PlatformStub;
