//! Workspaces: teams that share the services, each identified by its API keys.
//!
//! Keys are secrets, so only their digests are kept. Lookup compares digests, so that its timing
//! does not reveal how much of a guessed key is right.

use std::collections::{BTreeMap, HashMap};
use std::fmt;

use sha2::{Digest, Sha256};
use xxhash_rust::xxh3::xxh3_64;

use super::spec::Resources;
use crate::ids::WorkspaceId;

/// Owner of a job: a hash of the name of its workspace, so that it is the same on every entry and
/// in every version of the configuration.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Owner(u64);

impl Owner {
    /// The owner of jobs without a workspace, whose queue is open to all.
    pub const PUBLIC: Owner = Owner(0);
    /// The last of all owners in their order.
    pub const LAST: Owner = Owner(u64::MAX);

    /// The owner of a workspace's jobs; [`Owner::PUBLIC`] without a workspace.
    pub fn of_workspace(workspace: Option<&str>) -> Owner {
        workspace.map_or(Owner::PUBLIC, |name| Owner(xxh3_64(name.as_bytes()).max(1)))
    }

    /// Restores an owner from its stored number.
    pub fn from_number(number: u64) -> Owner {
        Owner(number)
    }

    /// The number that is stored for the owner; 0 for [`Owner::PUBLIC`].
    pub fn number(self) -> u64 {
        self.0
    }

    /// Whether this is [`Owner::PUBLIC`].
    pub fn is_public(self) -> bool {
        self == Owner::PUBLIC
    }
}

/// The configuration of a workspace.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspace {
    /// Name of the workspace.
    pub name: WorkspaceId,
    /// Guaranteed submission rate in jobs a second; also its weight for fair sharing under
    /// overload.
    pub jobs_per_s: f64,
    /// Limit on the resources that it uses over all services; an amount of 0 means no limit.
    pub limit: Resources,
}

/// Digests of all valid API keys, with the workspace of each.
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

    /// The workspace that a key belongs to, if the key is valid.
    pub fn workspace(&self, key: &str) -> Option<&WorkspaceId> {
        let digest: [u8; 32] = Sha256::digest(key).into();
        self.0.get(&digest)
    }
}

/// All configured workspaces.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Workspaces {
    /// Workspaces by the owner of their jobs.
    pub by_owner: BTreeMap<Owner, Workspace>,
    /// API keys of all workspaces.
    pub keys: ApiKeys,
}

impl Workspaces {
    /// Adds a workspace with its keys.
    pub fn add<'a>(&mut self, workspace: Workspace, keys: impl IntoIterator<Item = &'a str>) {
        keys.into_iter().for_each(|key| self.keys.add(key, &workspace.name));
        self.by_owner.insert(Owner::of_workspace(Some(&workspace.name)), workspace);
    }

    /// Limit on the resources that an owner uses; an amount of 0 means no limit.
    pub fn limit(&self, owner: Owner) -> Resources {
        self.by_owner.get(&owner).map(|w| w.limit).unwrap_or_default()
    }

    /// Guaranteed submission rate of an owner in jobs a second; `None` if it is not configured.
    pub fn jobs_per_s(&self, owner: Owner) -> Option<f64> {
        self.by_owner.get(&owner).map(|w| w.jobs_per_s)
    }
}
