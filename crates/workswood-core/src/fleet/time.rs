//! Times in fleet files, as RFC 3339 text.

use std::time::{Duration, UNIX_EPOCH};

use crate::ids::UnixMs;

/// Parses RFC 3339 text, for example `2026-12-02T02:00:00Z`; `None` if it is not
/// valid or before 1970.
pub fn parse_rfc3339(text: &str) -> Option<UnixMs> {
    let time = humantime::parse_rfc3339(text).ok()?;
    let since_epoch = time.duration_since(UNIX_EPOCH).ok()?;
    u64::try_from(since_epoch.as_millis()).ok()
}

/// Formats a time as RFC 3339 text, in whole seconds.
pub fn format_rfc3339(at: UnixMs) -> String {
    humantime::format_rfc3339_seconds(UNIX_EPOCH + Duration::from_millis(at)).to_string()
}

/// Serialises [`UnixMs`] as RFC 3339 text.
pub mod serde_rfc3339 {
    use super::{UnixMs, format_rfc3339, parse_rfc3339};
    use serde::{Deserialize, Deserializer, Serializer, de::Error};

    /// Serialises a time.
    pub fn serialize<S: Serializer>(at: &UnixMs, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(&format_rfc3339(*at))
    }

    /// Deserialises a time.
    pub fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<UnixMs, D::Error> {
        let text = String::deserialize(d)?;
        parse_rfc3339(&text)
            .ok_or_else(|| D::Error::custom(format!("`{text}` is not a time such as 2026-12-02T02:00:00Z")))
    }
}
