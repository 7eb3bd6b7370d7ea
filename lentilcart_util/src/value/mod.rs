//! Identifiers.

mod name;

pub use self::name::Name;
