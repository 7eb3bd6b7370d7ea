use serde::{Deserialize, Deserializer, Serializer, de::Error};
use serde_with::{DeserializeAs, SerializeAs};

/// The units of [`BitRateText`] in bits a second, longer names first.
const UNITS: [(&str, f64); 4] = [
    ("kbit/s", 1e3),
    ("Mbit/s", 1e6),
    ("Gbit/s", 1e9),
    ("bit/s", 1.0),
];

/// `serde_with` adapter that reads and writes a number of bits a second as text with its unit, such as
/// `"100Mbit/s"`.
pub struct BitRateText;

impl BitRateText {
    /// Parses a number of bits a second such as `"2.5Gbit/s"`, rounded down: a number above 0, and one of the units
    /// bit/s, kbit/s, Mbit/s and Gbit/s.
    ///
    /// # Errors
    ///
    /// Returns a message where the text is not such a rate, or is below 1 or above `u64::MAX` bits a second.
    pub fn parse(text: &str) -> Result<u64, String> {
        let find = |(name, size): &(&str, f64)| {
            let number = text.strip_suffix(name)?.trim_end();
            let rate = number.parse::<f64>().ok()? * size;
            (1.0..u64::MAX as f64)
                .contains(&rate)
                .then_some(rate as u64)
        };
        UNITS.iter().find_map(find).ok_or_else(|| {
            format!("{text:?}: expected a number above 0 with a unit, such as \"100Mbit/s\"")
        })
    }

    /// Formats a number of bits a second with the largest unit that leaves a number of at least 1, such as
    /// `"2.5Gbit/s"`.
    #[must_use]
    pub fn format(rate: u64) -> String {
        let rate = rate as f64;
        let fits = UNITS.iter().filter(|(_, size)| rate >= *size);
        let unit = fits.max_by(|(_, a), (_, b)| a.total_cmp(b));
        let (name, size) = unit.unwrap_or(&("bit/s", 1.0));
        format!("{}{name}", rate / size)
    }
}

impl SerializeAs<u64> for BitRateText {
    fn serialize_as<S: Serializer>(rate: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&Self::format(*rate))
    }
}

impl<'de> DeserializeAs<'de, u64> for BitRateText {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let text = String::deserialize(deserializer)?;
        Self::parse(&text).map_err(D::Error::custom)
    }
}
