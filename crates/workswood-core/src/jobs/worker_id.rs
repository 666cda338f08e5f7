//! Names of lives of workers.

use std::borrow::Borrow;
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

use crate::ids::UnixMs;

/// What stands between a worker's name and when it started.
const START_TIME_SEPARATOR: char = '@';

/// One life of a worker process; a restarted one has another.
///
/// A worker either takes a new name at each start, or keeps its name and tells when it started. Then
/// that is part of its life's text: `NAME@MILLISECONDS`. A name that holds such a sign itself ends with one.
///
/// The scheduler looks workers up several times for each task. A clone shares the text, and two
/// clones are equal by their place in memory, which is cheaper than comparing the text each time.
#[derive(Clone, Default)]
pub struct WorkerId(Arc<str>);

impl WorkerId {
    /// The life of a worker that has started at a time, if it tells.
    pub fn new(name: &str, started: Option<UnixMs>) -> WorkerId {
        match started {
            Some(at) => WorkerId(format!("{name}{START_TIME_SEPARATOR}{at}").into()),
            None if name.contains(START_TIME_SEPARATOR) => {
                WorkerId(format!("{name}{START_TIME_SEPARATOR}").into())
            }
            None => WorkerId(name.into()),
        }
    }

    /// The life as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// The name that the worker goes by, in this life and in others.
    pub fn name(&self) -> &str {
        self.parts().0
    }

    /// When it started, in milliseconds since 1970, if it tells.
    pub fn started_at(&self) -> Option<UnixMs> {
        self.parts().1
    }

    /// Whether the same worker had another life before this one.
    pub fn supersedes(&self, other: &WorkerId) -> bool {
        let ((name, started), (before, ended)) = (self.parts(), other.parts());
        name == before && started > ended
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
        // As `str` does it: maps are asked by text, too.
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
