use serde::{Deserialize, Deserializer, Serializer, de::Error};
use serde_with::{DeserializeAs, SerializeAs};

use super::Micros;

/// `serde_with` adapter that writes a length of time with its unit, such as `"250ms"`.
pub struct DurationText;

impl DurationText {
    /// Reads a length of time such as `"250ms"` or `"2s"`.
    ///
    /// # Errors
    ///
    /// Fails with a message where the number or the unit is missing or unknown.
    pub fn parse(text: &str) -> Result<Micros, String> {
        humantime::parse_duration(text)
            .map(Micros::from)
            .map_err(|e| e.to_string())
    }

    /// Writes a length of time with its unit.
    #[must_use]
    pub fn format(length: Micros) -> String {
        humantime::format_duration(length.into()).to_string()
    }
}

impl SerializeAs<Micros> for DurationText {
    fn serialize_as<S: Serializer>(length: &Micros, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&Self::format(*length))
    }
}

impl<'de> DeserializeAs<'de, Micros> for DurationText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Micros, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(D::Error::custom)
    }
}
