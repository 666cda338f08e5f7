//! Points in time as operators write them: RFC 3339 text.

use std::time::{Duration, UNIX_EPOCH};

use crate::ids::UnixMs;

/// Reads RFC 3339 text, for example `2026-12-02T02:00:00Z`.
pub fn parse_rfc3339_ms(text: &str) -> Option<UnixMs> {
    let at = humantime::parse_rfc3339(text).ok()?;
    let since = at.duration_since(UNIX_EPOCH).ok()?;
    u64::try_from(since.as_millis()).ok()
}

/// Writes a point in time as RFC 3339 text, to the second.
pub fn rfc3339_ms(at: UnixMs) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_millis(at)).to_string()
}

/// Serde form of [`UnixMs`] as RFC 3339 text.
pub mod serde_rfc3339 {
    use super::{UnixMs, parse_rfc3339_ms, rfc3339_ms};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Writes the text form.
    pub fn serialize<S: Serializer>(at: &UnixMs, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&rfc3339_ms(*at))
    }

    /// Reads the text form.
    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<UnixMs, D::Error> {
        let text = String::deserialize(d)?;
        parse_rfc3339_ms(&text)
            .ok_or_else(|| D::Error::custom(format!("`{text}` is not a time such as 2026-12-02T02:00:00Z")))
    }
}
