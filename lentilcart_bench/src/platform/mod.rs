//! Stub of the platform's service.

mod faults;
mod platform_stub;
mod stub_state;

pub use self::faults::Faults;
pub use self::platform_stub::PlatformStub;
