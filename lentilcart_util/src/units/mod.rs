//! Quantities with units.

mod micros;
mod span;

pub use self::micros::Micros;
pub use self::span::Span;
