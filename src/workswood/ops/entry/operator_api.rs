//! Answers operators: applies fleet files, and reports status and metrics.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use workswood_core::code::Code;
use workswood_core::fleet::{FleetFile, check, parse};
use workswood_core::fold::{HostPhase, Rejection, State};
use workswood_core::ids::Offset;
use workswood_core::invariant;
use workswood_core::plan::{WaveState, wave_status};
use workswood_core::record::{Record, Role};
use workswood_operators::{
    ApplyReply, ApplyRequest, DutyStatus, EntryStatus, FileIssue, FileStatus, OperatorApi, PoolStatus, Status,
};

use super::log_appender::AppendError;
use super::node::Node;
use crate::ops::plan;
use crate::util::logs;

/// Maximum number of differences that are listed when a change conflicts with another one.
const MAX_DIFFERENCES: usize = 20;

impl OperatorApi for Node {
    fn apply(self: Arc<Self>, req: ApplyRequest) -> BoxFuture<'static, ApplyReply> {
        async move { apply(&self, req).await }.boxed()
    }

    fn status(&self) -> Status {
        status(self)
    }

    fn metrics(&self) -> String {
        self.metrics.failed_invariants.set(invariant::failed_checks() as i64);
        self.metrics.dropped_log_lines.set(logs::dropped_lines() as i64);
        self.metrics.text()
    }
}

fn refused(code: Code, message: String) -> ApplyReply {
    ApplyReply::Refused { code, message, issues: Vec::new() }
}

/// Checks a fleet file and appends it to the log.
async fn apply(node: &Arc<Node>, req: ApplyRequest) -> ApplyReply {
    let file = match parse(&req.text) {
        Ok(f) => f,
        Err(issues) => return invalid_file(&issues),
    };
    let issues = check(&file);
    if !issues.is_empty() {
        return invalid_file(&issues);
    }
    if let Err(e) = plan::refuse_impossible(std::slice::from_ref(&file), node.wall()) {
        return refused(e.code(), e.to_string());
    }
    if !node.is_set(&node.ready) {
        return refused(Code::NotCaughtUp, Code::NotCaughtUp.text().to_string());
    }
    let record = Record::Apply {
        change_id: req.id.clone(),
        base: req.base,
        author: req.author.clone(),
        file: Box::new(file.clone()),
    };
    let appended = match node.append(vec![record]).await {
        Ok(appended) => appended,
        Err(AppendError::NotSent) => {
            return refused(Code::ApplyNotTaken, Code::ApplyNotTaken.text().to_string());
        }
        Err(AppendError::Unknown) => return ApplyReply::Unknown { code: Code::ApplyUnknown },
    };
    log::info!(
        "event=apply file={} base={} author={} verdicts={:?}",
        file.file,
        req.base,
        req.author,
        appended.verdicts
    );
    match appended.verdicts.first() {
        Some(Ok(())) => accepted(node, &file, appended.offset, req.wait_ms).await,
        Some(Err(rejection)) => rejected(node, &file, rejection),
        None => ApplyReply::Unknown { code: Code::ApplyUnknown },
    }
}

fn invalid_file(issues: &[workswood_core::fleet::Issue]) -> ApplyReply {
    let code = issues.first().map_or(Code::BadValue, |i| i.code);
    let message = format!("the file has {} error(s)", issues.len());
    ApplyReply::Refused { code, message, issues: issues.iter().map(FileIssue::from).collect() }
}

/// Answer for an accepted file, after the wait that the operator asked for.
async fn accepted(node: &Arc<Node>, file: &FleetFile, offset: Offset, wait_ms: u64) -> ApplyReply {
    let version = node.state.read().files.get(&file.file).map_or(0, |f| f.version);
    let behind = match wait_ms {
        0 => Vec::new(),
        ms => wait_until_folded_everywhere(node, offset, Duration::from_millis(ms)).await,
    };
    ApplyReply::Accepted { version, offset, behind }
}

/// Waits until all known entries have folded an offset, and returns the addresses of those that have not
/// within the timeout. Dead members count as well; those that are shutting down do not.
async fn wait_until_folded_everywhere(node: &Arc<Node>, offset: Offset, timeout: Duration) -> Vec<String> {
    const POLL_INTERVAL: Duration = Duration::from_millis(20);
    let deadline = node.now() + timeout;
    loop {
        let behind: Vec<String> = {
            let members = node.members.lock();
            let behind = members.iter().filter(|m| {
                m.heartbeat.id != node.id && m.heartbeat.next_offset <= offset && !m.heartbeat.stopping
            });
            behind.map(|m| m.heartbeat.address.clone()).collect()
        };
        if behind.is_empty() || node.now() >= deadline {
            return behind;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Answer for a file that was folded but did not come into force.
fn rejected(node: &Node, file: &FleetFile, rejection: &Rejection) -> ApplyReply {
    let state = node.state.read();
    let message = match rejection {
        Rejection::Stale { version: 0, .. } => format!("file `{}` is not in force; use base 0", file.file),
        Rejection::Stale { version, author } => {
            let current = state.files.get(&file.file).map(|f| &f.file);
            let changed = current.map(|c| differences(c, file)).unwrap_or_default();
            format!(
                "version {version} of `{}` by `{author}` is in force; it differs from yours in: {}",
                file.file,
                changed.join(", ")
            )
        }
        Rejection::Claimed { what, file } => format!("{what} belongs to file `{file}`"),
        other => format!("{other:?}"),
    };
    refused(rejection.code(), message)
}

/// Paths of the values that differ between two files, at most [`MAX_DIFFERENCES`].
fn differences(a: &FleetFile, b: &FleetFile) -> Vec<String> {
    let a = serde_json::to_value(a).unwrap_or_default();
    let b = serde_json::to_value(b).unwrap_or_default();
    let mut paths = Vec::new();
    collect_differences("", &a, &b, &mut paths);
    paths.truncate(MAX_DIFFERENCES);
    paths
}

/// Adds the paths of the values that differ between `a` and `b`, which are both at `path`.
fn collect_differences(path: &str, a: &serde_json::Value, b: &serde_json::Value, paths: &mut Vec<String>) {
    use serde_json::Value::{Array, Object};
    match (a, b) {
        _ if a == b => {}
        (Object(x), Object(y)) => {
            for (k, v) in x {
                let child = if path.is_empty() { k.clone() } else { format!("{path}.{k}") };
                collect_differences(&child, v, y.get(k).unwrap_or(&serde_json::Value::Null), paths);
            }
        }
        (Array(x), Array(y)) if x.len() == y.len() => {
            for (i, (v, w)) in x.iter().zip(y).enumerate() {
                collect_differences(&format!("{path}[{i}]"), v, w, paths);
            }
        }
        _ => paths.push(path.to_string()),
    }
}

fn status(node: &Node) -> Status {
    let state = node.state.read();
    let now = node.wall();
    let waves = wave_status(&state, now);
    let budgets = state.budget_statuses();
    let mut stuck: Vec<String> = Vec::new();
    for w in &waves {
        if let WaveState::Unwell { .. }
        | WaveState::Deadline { .. }
        | WaveState::HostsMissing { .. }
        | WaveState::Budget { .. } = w.state
        {
            stuck.push(format!("wave={} left={} stop={:?}", w.name, w.remaining, w.state));
        }
    }
    stuck.extend(budgets.iter().filter(|s| s.slack < 0).map(|s| {
        format!("budget service={} available={} min_available={}", s.service, s.available, s.min_available)
    }));
    stuck.extend(jobs_too_large(&state));
    Status {
        entry: node.peer_address(),
        ready: node.is_set(&node.ready),
        log_up: node.is_set(&node.log_up),
        next: state.next_offset,
        files: file_statuses(&state),
        entries: entry_statuses(node, &state),
        duties: Role::ALL.iter().map(|d| role_status(&state, *d)).collect(),
        waves: serde_json::to_value(waves).unwrap_or_default(),
        budgets: serde_json::to_value(budgets).unwrap_or_default(),
        hosts: pool_statuses(&state),
        stuck,
        keys: state.keys.len(),
        open_deferred: state.open_keys.len(),
        unknown_records: state.unknown_records,
        invariants_broken: invariant::failed_checks(),
        first_broken: invariant::first_failure(),
        host_moves: state.host_moves,
        instance_moves: state.instance_removals,
    }
}

fn file_statuses(state: &State) -> Vec<FileStatus> {
    let files = state.files.iter().map(|(name, f)| FileStatus {
        file: name.clone(),
        version: f.version,
        offset: f.offset,
        author: f.author.clone(),
    });
    files.collect()
}

fn entry_statuses(node: &Node, state: &State) -> Vec<EntryStatus> {
    let members = node.members.lock();
    let entries = members.iter().map(|m| EntryStatus {
        address: m.heartbeat.address.clone(),
        id: m.heartbeat.id.clone(),
        data_centre: m.heartbeat.data_centre.clone(),
        next: m.heartbeat.next_offset,
        liveness: format!("{:?}", m.liveness).to_lowercase(),
        on_roster: state.roster.iter().any(|r| r.id == m.heartbeat.id),
    });
    entries.collect()
}

fn role_status(state: &State, role: Role) -> DutyStatus {
    let lease = state.lease(role);
    DutyStatus { duty: format!("{role:?}").to_lowercase(), holder: lease.holder, term: lease.term }
}

fn pool_statuses(state: &State) -> Vec<PoolStatus> {
    let mut pools: BTreeMap<String, PoolStatus> = BTreeMap::new();
    for (id, h) in &state.hosts {
        let pool = h.pool.clone().unwrap_or_default();
        let p = pools.entry(pool.clone()).or_insert_with(|| PoolStatus { pool, ..PoolStatus::default() });
        if h.externally_moved {
            p.foreign.push(id.clone());
        } else if !h.up && !matches!(h.phase, HostPhase::Rebooting { .. }) {
            p.down.push(id.clone());
        } else if h.out_of_service() {
            p.away.push(id.clone());
        } else {
            p.active += 1;
        }
    }
    pools.into_values().collect()
}

/// Describes the declared jobs that need more than the largest host of their pool has.
fn jobs_too_large(state: &State) -> Vec<String> {
    let mut descriptions = Vec::new();
    for j in state.declared_jobs() {
        let in_pool = state.hosts.values().filter(|h| h.pool.as_ref() == Some(&j.pool));
        let (cpus, memory) = in_pool.fold((0, 0), |m, h| (m.0.max(h.cpus), m.1.max(h.memory_gib)));
        if cpus > 0 && (j.cpus > cpus || j.memory_gib > memory) {
            descriptions.push(format!(
                "job={} impossible: asks cpus={} memory_gib={}, the largest host of pool={} has cpus={cpus} \
                 memory_gib={memory}",
                j.name, j.cpus, j.memory_gib, j.pool
            ));
        }
    }
    descriptions
}
