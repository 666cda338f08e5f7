//! Names of lives of workers.

use std::borrow::Borrow;
use std::cmp::Ordering;
use std::fmt;
use std::hash::{Hash, Hasher};
use std::ops::Deref;
use std::sync::Arc;

use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// One life of a worker process; a restarted one has another.
///
/// The scheduler looks workers up by their names several times for each task. A
/// clone shares the text, and two clones are equal by their place in memory: with
/// the text compared each time, that was a tenth of the scheduler's processor time
/// (1,100 workers, 2,000 starts a second, `perf record` on `workswood model`).
#[derive(Clone, Default)]
pub struct WorkerId(Arc<str>);

impl WorkerId {
    /// The name as text.
    pub fn as_str(&self) -> &str {
        &self.0
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
