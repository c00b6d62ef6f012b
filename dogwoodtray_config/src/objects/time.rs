//! UTC timestamps in TOML files.

use std::fmt;
use std::str::FromStr;

use jiff::Timestamp;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de;
use toml::value::Datetime;

/// A timestamp, formatted as an RFC 3339 date-time in UTC such as `2027-03-31T22:00:00Z`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UtcTime(Timestamp);

impl UtcTime {
    /// Returns the milliseconds since the Unix epoch, or zero for times before it.
    #[must_use]
    pub fn unix_ms(self) -> u64 {
        u64::try_from(self.0.as_millisecond()).unwrap_or(0)
    }
}

impl FromStr for UtcTime {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if !text.ends_with('Z') {
            return Err(format!(
                "{text:?} is not an RFC 3339 date-time in UTC, such as 2027-03-31T22:00:00Z"
            ));
        }
        text.parse().map(Self).map_err(|err: jiff::Error| format!("{text:?}: {err}"))
    }
}

impl fmt::Display for UtcTime {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl Serialize for UtcTime {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for UtcTime {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_any(Visitor)
    }
}

/// Accepts a string or the date-time type of TOML, which serde represents as a map.
struct Visitor;

impl<'de> de::Visitor<'de> for Visitor {
    type Value = UtcTime;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("an RFC 3339 date-time in UTC")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<UtcTime, E> {
        text.parse().map_err(E::custom)
    }

    fn visit_map<A: de::MapAccess<'de>>(self, map: A) -> Result<UtcTime, A::Error> {
        let datetime = Datetime::deserialize(de::value::MapAccessDeserializer::new(map))?;
        datetime.to_string().parse().map_err(de::Error::custom)
    }
}
