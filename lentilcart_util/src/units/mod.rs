//! Units of time, of memory and of data rates.

mod bit_rate_text;
mod byte_text;
mod duration_text;
mod micros;

pub use self::bit_rate_text::BitRateText;
pub use self::byte_text::ByteText;
pub use self::duration_text::DurationText;
pub use self::micros::Micros;
