//! Fleet files in force, and the hosts that they claim.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::{ManagedHost, RecordResult, Rejection, State};
use crate::fleet::FleetFile;
use crate::ids::{FileId, Offset};

/// A fleet file in force.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AppliedFile {
    /// Version; the first accepted change sets it to 1.
    pub version: u64,
    /// Offset at which the version was accepted.
    pub offset: Offset,
    /// Id of the operator's change that set this version.
    #[serde(rename = "change")]
    pub change_id: String,
    /// Who applied the change.
    pub author: String,
    /// Digest of the file's content.
    pub digest: u64,
    /// The file's content.
    pub file: FleetFile,
}

/// Digest of a file's content.
fn digest(file: &FleetFile) -> u64 {
    xxh3_64(&serde_json::to_vec(file).unwrap_or_default())
}

impl State {
    /// Puts a file in force if `base` is the version in force.
    pub(super) fn apply_file(
        &mut self,
        offset: Offset,
        change_id: &str,
        base: u64,
        author: &str,
        file: &FleetFile,
    ) -> RecordResult {
        let digest = digest(file);
        if let Some(current) = self.files.get(&file.file) {
            // A change that was sent twice, or that changes nothing, has no effect.
            if current.change_id == change_id || current.digest == digest {
                return Ok(());
            }
        }
        let version = self.files.get(&file.file).map_or(0, |f| f.version);
        if version != base {
            let author = self.files.get(&file.file).map_or(String::new(), |f| f.author.clone());
            return Err(Rejection::Stale { version, author });
        }
        if let Some((what, owner)) = self.conflict_with_other_file(file) {
            return Err(Rejection::Claimed { what, file: owner });
        }
        let applied = AppliedFile {
            version: version + 1,
            offset,
            change_id: change_id.to_string(),
            author: author.to_string(),
            digest,
            file: file.clone(),
        };
        self.files.insert(file.file.clone(), applied);
        self.rebuild_service_index();
        self.claim_hosts(file);
        self.remove_undeclared();
        Ok(())
    }

    /// The first name in `file` that belongs to another file in force, and that
    /// file's name.
    fn conflict_with_other_file(&self, file: &FleetFile) -> Option<(String, FileId)> {
        for h in &file.hosts {
            if let Some(host) = self.hosts.get(&h.name).filter(|r| r.file != file.file) {
                return Some((format!("host `{}`", h.name), host.file.clone()));
            }
        }
        for other in self.fleet_files().filter(|f| f.file != file.file) {
            if let Some(what) = shared_name(file, other) {
                return Some((what, other.file.clone()));
            }
        }
        None
    }

    /// Rebuilds the index of services from the files in force.
    pub(super) fn rebuild_service_index(&mut self) {
        let declared = |(name, f): (&FileId, &AppliedFile)| {
            let all = f.file.services.iter().enumerate();
            all.map(|(i, s)| (s.name.clone(), (name.clone(), i))).collect::<Vec<_>>()
        };
        self.by_service = self.files.iter().flat_map(declared).collect();
    }

    /// Claims the hosts that `file` names, and marks those that it no longer names
    /// as released.
    fn claim_hosts(&mut self, file: &FleetFile) {
        for h in &file.hosts {
            let host = self.hosts.entry(h.name.clone()).or_insert_with(|| ManagedHost::new(&file.file, h));
            host.released = false;
        }
        let named: std::collections::BTreeSet<&String> = file.hosts.iter().map(|h| &h.name).collect();
        for (id, host) in &mut self.hosts {
            if host.file == file.file && !named.contains(id) {
                host.released = true;
            }
        }
        // A released host that was never in a pool needs no drain.
        self.hosts.retain(|_, h| !(h.released && h.pool.is_none()));
    }

    /// Removes instances and jobs that are no longer declared from the state. Running
    /// instances are not stopped.
    fn remove_undeclared(&mut self) {
        let by_service = &self.by_service;
        self.instances.retain(|_, i| by_service.contains_key(&i.service));
        self.rebuild_host_index();
        let jobs: std::collections::BTreeSet<String> = self.declared_jobs().map(|j| j.name.clone()).collect();
        self.jobs.retain(|name, _| jobs.contains(name));
    }
}

/// The first name that both files declare.
fn shared_name(a: &FleetFile, b: &FleetFile) -> Option<String> {
    let pool = a.pools.iter().find(|x| b.pools.iter().any(|y| x.name == y.name));
    if let Some(p) = pool {
        return Some(format!("pool `{}`", p.name));
    }
    let service = a.services.iter().find(|x| b.services.iter().any(|y| x.name == y.name));
    if let Some(s) = service {
        return Some(format!("service `{}`", s.name));
    }
    let team = a.teams.iter().find(|x| b.teams.iter().any(|y| x.name == y.name));
    if let Some(t) = team {
        return Some(format!("team `{}`", t.name));
    }
    let job = a.jobs.iter().find(|x| b.jobs.iter().any(|y| x.name == y.name));
    if let Some(j) = job {
        return Some(format!("job `{}`", j.name));
    }
    let routes = |f: &FleetFile| -> Vec<String> {
        f.services.iter().flat_map(|s| s.routes.iter().map(|r| r.path.clone())).collect()
    };
    let theirs = routes(b);
    routes(a).into_iter().find(|r| theirs.contains(r)).map(|r| format!("route `{r}`"))
}
