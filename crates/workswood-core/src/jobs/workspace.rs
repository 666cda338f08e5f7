//! Workspaces: teams that share the services, each known by its keys.
//!
//! Keys are secrets. They are kept as digests, are never shown, and are told from each other by
//! their digests, so that the time it takes says nothing of how much of a guess was right.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use super::spec::Resources;
use crate::ids::WorkspaceId;

/// Whose a job is: a number made from the name of its workspace, so that every entry and
/// each version of the configuration come to the same one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner(u64);

impl Owner {
    /// Nobody's: its queue is open to all.
    pub const PUBLIC: Owner = Owner(0);

    /// The owner of a workspace's jobs.
    pub fn of_workspace(workspace: Option<&str>) -> Owner {
        workspace.map_or(Owner::PUBLIC, |name| Owner(xxh3_64(name.as_bytes()).max(1)))
    }

    /// The owner with a number, as it was stored.
    pub fn from_number(number: u64) -> Owner {
        Owner(number)
    }

    /// Its number; 0 for nobody.
    pub fn number(self) -> u64 {
        self.0
    }

    /// Whether it is nobody.
    pub fn is_public(self) -> bool {
        self == Owner::PUBLIC
    }
}

/// What operators declare of a workspace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspace {
    /// Its name.
    pub name: WorkspaceId,
    /// Jobs a second that it may count on; its share when all is full.
    pub jobs_per_s: f64,
    /// What it may have at work over all services; what is 0 has no limit.
    pub limit: Resources,
}

/// Keys that are in force, and whose each is.
#[derive(Clone, Default, PartialEq)]
pub struct ApiKeys(HashMap<[u8; 32], WorkspaceId>);

impl fmt::Debug for ApiKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} keys", self.0.len())
    }
}

impl ApiKeys {
    /// Adds a key of a workspace.
    pub fn add(&mut self, key: &str, workspace: &str) {
        self.0.insert(Sha256::digest(key).into(), workspace.to_string());
    }

    /// The workspace whose key this is.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceId> {
        let digest: [u8; 32] = Sha256::digest(key).into();
        self.0.get(&digest)
    }
}

/// Workspaces in force.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspaces {
    /// By the owner of their jobs.
    pub by_owner: BTreeMap<Owner, Workspace>,
    /// Their keys.
    pub keys: ApiKeys,
}

impl Workspaces {
    /// Adds a workspace with its keys.
    pub fn add<'a>(&mut self, workspace: Workspace, keys: impl IntoIterator<Item = &'a str>) {
        keys.into_iter().for_each(|key| self.keys.add(key, &workspace.name));
        self.by_owner.insert(Owner::of_workspace(Some(&workspace.name)), workspace);
    }

    /// What an owner's jobs may have at work; what is 0 has no limit.
    pub fn limit(&self, owner: Owner) -> Resources {
        self.by_owner.get(&owner).map(|w| w.limit).unwrap_or_default()
    }

    /// Jobs a second that an owner may count on; `None` if nothing is declared.
    pub fn jobs_per_s(&self, owner: Owner) -> Option<f64> {
        self.by_owner.get(&owner).map(|w| w.jobs_per_s)
    }
}
