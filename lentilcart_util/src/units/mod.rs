//! Units of time.

mod duration_text;
mod micros;

pub use self::duration_text::DurationText;
pub use self::micros::Micros;
