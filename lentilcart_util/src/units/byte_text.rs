use serde::{Deserialize, Deserializer, Serializer, de::Error};
use serde_with::{DeserializeAs, SerializeAs};

/// The units of [`ByteText`] and their sizes in bytes, longer names first.
const UNITS: [(&str, u64); 7] = [
    ("KiB", 1 << 10),
    ("MiB", 1 << 20),
    ("GiB", 1 << 30),
    ("kB", 1_000),
    ("MB", 1_000_000),
    ("GB", 1_000_000_000),
    ("B", 1),
];

/// `serde_with` adapter that reads and writes a number of bytes as text with its unit, such as
/// `"256MiB"` or `"650MB"`.
pub struct ByteText;

impl ByteText {
    /// Parses a number of bytes such as `"256MiB"`: a whole number, and one of the units B, kB, MB, GB,
    /// KiB, MiB and GiB.
    ///
    /// # Errors
    ///
    /// Returns a message where the text is not a size or exceeds `u64::MAX` bytes.
    pub fn parse(text: &str) -> Result<u64, String> {
        let find = |(name, size): &(&str, u64)| {
            let number = text.strip_suffix(name)?.trim_end();
            number.parse::<u64>().ok()?.checked_mul(*size)
        };
        UNITS.iter().find_map(find).ok_or_else(|| {
            format!(
                "{text:?}: expected a whole number with a unit, such as \"256MiB\" or \"650MB\""
            )
        })
    }

    /// Formats a number of bytes with the largest unit that shows it exactly, such as `"256MiB"`.
    #[must_use]
    pub fn format(bytes: u64) -> String {
        let is_exact = |unit: &&(&str, u64)| bytes > 0 && bytes.is_multiple_of(unit.1);
        let unit = UNITS.iter().filter(is_exact).max_by_key(|unit| unit.1);
        let (name, size) = unit.unwrap_or(&("B", 1));
        format!("{}{name}", bytes / size)
    }
}

impl SerializeAs<u64> for ByteText {
    fn serialize_as<S: Serializer>(bytes: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&Self::format(*bytes))
    }
}

impl<'de> DeserializeAs<'de, u64> for ByteText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(D::Error::custom)
    }
}
