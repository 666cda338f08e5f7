//! Answers to operators.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures::FutureExt;
use futures::future::BoxFuture;
use workswood_core::code::Code;
use workswood_core::fleet::{FleetFile, check, parse};
use workswood_core::fold::{Phase, State, Void};
use workswood_core::ids::Offset;
use workswood_core::invariant;
use workswood_core::plan::{WaveState, wave_status};
use workswood_core::record::{Duty, Record};
use workswood_operators::{
    ApplyReply, ApplyRequest, DutyStatus, EntryStatus, FileStatus, Operations, PoolStatus, ShownIssue, Status,
};

use super::appender::Missed;
use super::node::Node;
use crate::ops::plan;
use crate::util::logs;

/// Differences named to an operator who lost a race.
const MOST_DIFFERENCES: usize = 20;

impl Operations for Node {
    fn apply(self: Arc<Self>, req: ApplyRequest) -> BoxFuture<'static, ApplyReply> {
        async move { apply(&self, req).await }.boxed()
    }

    fn status(&self) -> Status {
        status(self)
    }

    fn metrics(&self) -> String {
        self.metrics.broken.set(invariant::total() as i64);
        self.metrics.lines_dropped.set(logs::dropped() as i64);
        self.metrics.text()
    }
}

fn refused(code: Code, message: String) -> ApplyReply {
    ApplyReply::Refused { code, message, issues: Vec::new() }
}

async fn apply(node: &Arc<Node>, req: ApplyRequest) -> ApplyReply {
    let file = match parse(&req.text) {
        Ok(f) => f,
        Err(issues) => return bad_file(&issues),
    };
    let issues = check(&file);
    if !issues.is_empty() {
        return bad_file(&issues);
    }
    if let Err(e) = plan::refuse_impossible(std::slice::from_ref(&file), node.wall()) {
        return refused(e.code(), e.to_string());
    }
    if !node.is(&node.ready) {
        return refused(Code::NotCaughtUp, Code::NotCaughtUp.text().to_string());
    }
    let record = Record::Apply {
        id: req.id.clone(),
        base: req.base,
        author: req.author.clone(),
        file: Box::new(file.clone()),
    };
    let folded = match node.append(vec![record]).await {
        Ok(f) => f,
        Err(Missed::NotSent) => return refused(Code::ApplyNotTaken, Code::ApplyNotTaken.text().to_string()),
        Err(Missed::Unknown) => return ApplyReply::Unknown { code: Code::ApplyUnknown },
    };
    log::info!(
        "event=apply file={} base={} author={} verdicts={:?}",
        file.file,
        req.base,
        req.author,
        folded.verdicts
    );
    match folded.verdicts.first() {
        Some(Ok(())) => accepted(node, &file, folded.offset, req.wait_ms).await,
        Some(Err(void)) => lost(node, &file, void),
        None => ApplyReply::Unknown { code: Code::ApplyUnknown },
    }
}

fn bad_file(issues: &[workswood_core::fleet::Issue]) -> ApplyReply {
    let code = issues.first().map_or(Code::BadValue, |i| i.code);
    let message = format!("the file has {} error(s)", issues.len());
    ApplyReply::Refused { code, message, issues: issues.iter().map(ShownIssue::from).collect() }
}

async fn accepted(node: &Arc<Node>, file: &FleetFile, offset: Offset, wait_ms: u64) -> ApplyReply {
    let version = node.state.read().files.get(&file.file).map_or(0, |f| f.version);
    let behind = match wait_ms {
        0 => Vec::new(),
        ms => wait_everywhere(node, offset, Duration::from_millis(ms)).await,
    };
    ApplyReply::Accepted { version, offset, behind }
}

/// Waits until all entry hosts have folded an offset; names those that have not.
async fn wait_everywhere(node: &Arc<Node>, offset: Offset, limit: Duration) -> Vec<String> {
    const LOOK: Duration = Duration::from_millis(20);
    let until = node.now() + limit;
    loop {
        let behind: Vec<String> = {
            let members = node.members.lock();
            let late =
                members.iter().filter(|m| m.beat.id != node.id && m.beat.next <= offset && !m.beat.stopping);
            late.map(|m| m.beat.address.clone()).collect()
        };
        if behind.is_empty() || node.now() >= until {
            return behind;
        }
        tokio::time::sleep(LOOK).await;
    }
}

fn lost(node: &Node, file: &FleetFile, void: &Void) -> ApplyReply {
    let state = node.state.read();
    let message = match void {
        Void::Stale { version: 0, .. } => format!("file `{}` is not in force; use base 0", file.file),
        Void::Stale { version, author } => {
            let theirs = state.files.get(&file.file).map(|f| &f.file);
            let changed = theirs.map(|t| differences(t, file)).unwrap_or_default();
            format!(
                "version {version} of `{}` by `{author}` is in force; it differs from yours in: {}",
                file.file,
                changed.join(", ")
            )
        }
        Void::Claimed { what, file } => format!("{what} belongs to file `{file}`"),
        other => format!("{other:?}"),
    };
    refused(void.code(), message)
}

/// Paths in which two files differ.
fn differences(a: &FleetFile, b: &FleetFile) -> Vec<String> {
    let a = serde_json::to_value(a).unwrap_or_default();
    let b = serde_json::to_value(b).unwrap_or_default();
    let mut all = Vec::new();
    walk("", &a, &b, &mut all);
    all.truncate(MOST_DIFFERENCES);
    all
}

fn walk(at: &str, a: &serde_json::Value, b: &serde_json::Value, all: &mut Vec<String>) {
    use serde_json::Value::{Array, Object};
    match (a, b) {
        _ if a == b => {}
        (Object(x), Object(y)) => {
            for (k, v) in x {
                let path = if at.is_empty() { k.clone() } else { format!("{at}.{k}") };
                walk(&path, v, y.get(k).unwrap_or(&serde_json::Value::Null), all);
            }
        }
        (Array(x), Array(y)) if x.len() == y.len() => {
            for (i, (v, w)) in x.iter().zip(y).enumerate() {
                walk(&format!("{at}[{i}]"), v, w, all);
            }
        }
        _ => all.push(at.to_string()),
    }
}

fn status(node: &Node) -> Status {
    let state = node.state.read();
    let now = node.wall();
    let waves = wave_status(&state, now);
    let stances = state.stances();
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
    stuck.extend(stances.iter().filter(|s| s.slack < 0).map(|s| {
        format!("budget service={} available={} min_available={}", s.service, s.available, s.min_available)
    }));
    stuck.extend(impossible_jobs(&state));
    Status {
        entry: node.address(),
        ready: node.is(&node.ready),
        log_up: node.is(&node.log_up),
        next: state.next,
        files: files(&state),
        entries: entries(node, &state),
        duties: Duty::ALL.iter().map(|d| duty(&state, *d)).collect(),
        waves: serde_json::to_value(waves).unwrap_or_default(),
        budgets: serde_json::to_value(stances).unwrap_or_default(),
        hosts: pools(&state),
        stuck,
        keys: state.keys.len(),
        open_deferred: state.open_keys.len(),
        unknown_records: state.unknown,
        invariants_broken: invariant::total(),
        first_broken: invariant::first(),
        host_moves: state.host_moves,
        instance_moves: state.instance_moves,
    }
}

fn files(state: &State) -> Vec<FileStatus> {
    let all = state.files.iter().map(|(name, f)| FileStatus {
        file: name.clone(),
        version: f.version,
        offset: f.offset,
        author: f.author.clone(),
    });
    all.collect()
}

fn entries(node: &Node, state: &State) -> Vec<EntryStatus> {
    let members = node.members.lock();
    let all = members.iter().map(|m| EntryStatus {
        address: m.beat.address.clone(),
        id: m.beat.id.clone(),
        data_centre: m.beat.data_centre.clone(),
        next: m.beat.next,
        liveness: format!("{:?}", m.liveness).to_lowercase(),
        on_roster: state.roster.iter().any(|r| r.id == m.beat.id),
    });
    all.collect()
}

fn duty(state: &State, duty: Duty) -> DutyStatus {
    let lease = state.lease(duty);
    DutyStatus { duty: format!("{duty:?}").to_lowercase(), holder: lease.holder, term: lease.term }
}

fn pools(state: &State) -> Vec<PoolStatus> {
    let mut all: BTreeMap<String, PoolStatus> = BTreeMap::new();
    for (id, h) in &state.hosts {
        let pool = h.pool.clone().unwrap_or_default();
        let p = all.entry(pool.clone()).or_insert_with(|| PoolStatus { pool, ..PoolStatus::default() });
        if h.foreign {
            p.foreign.push(id.clone());
        } else if !h.up && !matches!(h.phase, Phase::Rebooting { .. }) {
            p.down.push(id.clone());
        } else if h.away() {
            p.away.push(id.clone());
        } else {
            p.active += 1;
        }
    }
    all.into_values().collect()
}

/// Jobs that no host of their pool could ever take.
fn impossible_jobs(state: &State) -> Vec<String> {
    let mut all = Vec::new();
    for j in state.declared_jobs() {
        let in_pool = state.hosts.values().filter(|h| h.pool.as_ref() == Some(&j.pool));
        let (cpus, memory) = in_pool.fold((0, 0), |m, h| (m.0.max(h.cpus), m.1.max(h.memory_gib)));
        if cpus > 0 && (j.cpus > cpus || j.memory_gib > memory) {
            all.push(format!(
                "job={} impossible: asks cpus={} memory_gib={}, the largest host of pool={} has cpus={cpus} \
                 memory_gib={memory}",
                j.name, j.cpus, j.memory_gib, j.pool
            ));
        }
    }
    all
}
