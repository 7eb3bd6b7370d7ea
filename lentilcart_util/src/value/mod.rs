//! String type for names, store keys and other short texts.

mod name;

pub use self::name::Name;
