//! Identifiers of worker incarnations.

use std::borrow::Borrow;
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::ids::UnixMs;

/// Separates the worker's name from its start time.
const START_TIME_SEPARATOR: char = '@';

/// Identifies one incarnation of a worker; a restarted worker has a new one.
///
/// A worker either takes a new name at each start, or keeps its name and reports when it started.
/// In the second case the text of the id is `NAME@MILLISECONDS`. If a name without a start time
/// holds an `@`, another one is appended to it.
///
/// Ids are cloned and compared several times for each task. Clones share the text, and clones of
/// one id compare equal by address without a comparison of the text.
#[derive(Clone, Default)]
pub struct WorkerId(Arc<str>);

impl WorkerId {
    /// Id of the incarnation of the worker `name` that started at `started_at`; `None` if the worker
    /// reports no start time.
    pub fn new(name: &str, started_at: Option<UnixMs>) -> WorkerId {
        match started_at {
            Some(at) => WorkerId(format!("{name}{START_TIME_SEPARATOR}{at}").into()),
            None if name.contains(START_TIME_SEPARATOR) => {
                WorkerId(format!("{name}{START_TIME_SEPARATOR}").into())
            }
            None => WorkerId(name.into()),
        }
    }

    /// The id as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Name of the worker, the same in all incarnations that keep it.
    pub fn name(&self) -> &str {
        self.parts().0
    }

    /// When this incarnation started, in milliseconds since 1970, if the worker reports it.
    pub fn started_at(&self) -> Option<UnixMs> {
        self.parts().1
    }

    /// Whether this is a later incarnation of the same worker than `other`.
    pub fn supersedes(&self, other: &WorkerId) -> bool {
        let ((name, started_at), (other_name, other_started_at)) = (self.parts(), other.parts());
        name == other_name && started_at > other_started_at
    }

    fn parts(&self) -> (&str, Option<UnixMs>) {
        match self.0.rsplit_once(START_TIME_SEPARATOR) {
            Some((name, "")) => (name, None),
            Some((name, at)) => at.parse().map_or((&self.0, None), |at| (name, Some(at))),
            None => (&self.0, None),
        }
    }
}

impl Deref for WorkerId {
    type Target = str;

    fn deref(&self) -> &str {
        &self.0
    }
}

impl PartialEq for WorkerId {
    fn eq(&self, other: &WorkerId) -> bool {
        Arc::ptr_eq(&self.0, &other.0) || self.0 == other.0
    }
}

impl Eq for WorkerId {}

impl Hash for WorkerId {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Must match the hash of `str`, since maps are also searched by text.
        self.as_str().hash(state);
    }
}

impl Ord for WorkerId {
    fn cmp(&self, other: &WorkerId) -> Ordering {
        if Arc::ptr_eq(&self.0, &other.0) { Ordering::Equal } else { self.0.cmp(&other.0) }
    }
}

impl PartialOrd for WorkerId {
    fn partial_cmp(&self, other: &WorkerId) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Borrow<str> for WorkerId {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl From<&str> for WorkerId {
    fn from(text: &str) -> WorkerId {
        WorkerId(text.into())
    }
}

impl From<String> for WorkerId {
    fn from(text: String) -> WorkerId {
        WorkerId(text.into())
    }
}

impl fmt::Debug for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self.as_str(), f)
    }
}

impl fmt::Display for WorkerId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl Serialize for WorkerId {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        s.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for WorkerId {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<WorkerId, D::Error> {
        Ok(String::deserialize(d)?.into())
    }
}
