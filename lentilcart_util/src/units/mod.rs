//! Units of time and of memory.

mod byte_text;
mod duration_text;
mod micros;

pub use self::byte_text::ByteText;
pub use self::duration_text::DurationText;
pub use self::micros::Micros;
