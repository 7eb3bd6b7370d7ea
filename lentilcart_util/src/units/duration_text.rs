use serde::{Deserialize, Deserializer, Serializer, de::Error};
use serde_with::{DeserializeAs, SerializeAs};

use super::Micros;

/// `serde_with` adapter that reads and writes a duration as text with its unit, such as `"250ms"`.
pub struct DurationText;

impl DurationText {
    /// Parses a duration such as `"250ms"` or `"1m 30s"`, truncated to whole microseconds.
    /// Durations above `u64::MAX` microseconds wrap.
    ///
    /// # Errors
    ///
    /// Returns the message of `humantime` where the text is not a duration, for example because it
    /// is empty, a number is missing, or a unit is missing or unknown. Only the text `"0"` needs no
    /// unit.
    pub fn parse(text: &str) -> Result<Micros, String> {
        humantime::parse_duration(text)
            .map(Micros::from)
            .map_err(|e| e.to_string())
    }

    /// Formats a duration with its units, such as `"250ms"` or `"1m 30s"`.
    #[must_use]
    pub fn format(duration: Micros) -> String {
        humantime::format_duration(duration.into()).to_string()
    }
}

impl SerializeAs<Micros> for DurationText {
    fn serialize_as<S: Serializer>(duration: &Micros, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&Self::format(*duration))
    }
}

impl<'de> DeserializeAs<'de, Micros> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Micros, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(D::Error::custom)
    }
}
