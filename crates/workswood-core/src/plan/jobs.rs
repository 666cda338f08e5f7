//! Starts and preemptions of jobs, and the ends that the platform's list shows.

use std::collections::BTreeMap;

use super::observed::ObservedFleet;
use super::place::instance_loads;
use crate::fleet::{Job, PriorityClass};
use crate::fold::{DeclaredJobState, JobPhase, ManagedHost, State};
use crate::ids::{HostId, JobId, Term, UnixMs};
use crate::record::{JobChange, Record};

/// Maximum number of waiting jobs considered in one round; bounds the batch of records.
const MAX_JOBS_CONSIDERED: usize = 256;
/// How long a host may be down before the jobs on it count as lost.
const LOST_AFTER_MS: UnixMs = 30_000;
/// A running job reserves this percentage of its reported processor usage, if that is more than
/// it declares.
const USAGE_PERCENT: u64 = 120;

/// Returns the records of jobs that end, start or are preempted now.
pub(super) fn records(state: &State, observed: &ObservedFleet, now: UnixMs, term: Term) -> Vec<Record> {
    let jobs: Vec<&Job> = state.declared_jobs().collect();
    if jobs.is_empty() {
        return Vec::new();
    }
    let mut changes = end_changes(state, observed, now);
    let mut capacity = FreeCapacity::new(state, observed, &jobs);
    let mut waiting: Vec<&&Job> = jobs.iter().filter(|j| is_waiting(state, &j.name)).collect();
    waiting.sort_by_key(|j| (j.class, j.name.clone()));
    for j in waiting.into_iter().take(MAX_JOBS_CONSIDERED) {
        changes.extend(capacity.start(state, j));
    }
    changes.into_iter().map(|(job, change)| Record::Job { term, job, change }).collect()
}

fn is_waiting(state: &State, job: &str) -> bool {
    state.jobs.get(job).is_none_or(|r| r.phase == JobPhase::Waiting)
}

/// Changes of the jobs that the list shows as ended or whose host is lost.
fn end_changes(state: &State, observed: &ObservedFleet, now: UnixMs) -> Vec<(JobId, JobChange)> {
    let running = state.jobs.iter().filter_map(|(id, r)| match &r.phase {
        JobPhase::Running { host } => Some((id, r, host)),
        _ => None,
    });
    let end = |(id, r, host): (&JobId, &DeclaredJobState, &HostId)| {
        let observed_host = observed.hosts.get(host);
        let task = observed_host.and_then(|h| h.tasks.iter().find(|t| t.id == *id && t.token == r.token));
        if let Some(ok) = task.and_then(|t| t.ended) {
            return Some((id.clone(), JobChange::End { ok }));
        }
        // A task that the list shows as running on a host that is down may be out of date.
        is_lost(state, host, r, now).then(|| (id.clone(), JobChange::Lost))
    };
    running.filter_map(end).collect()
}

/// Whether the host of a running job has been down or unknown for too long.
fn is_lost(state: &State, host: &HostId, r: &DeclaredJobState, now: UnixMs) -> bool {
    let down_since = state
        .hosts
        .get(host)
        .map_or(Some(r.changed_at), |h| (!h.up).then_some(h.changed_at.max(r.changed_at)));
    down_since.is_some_and(|since| now.saturating_sub(since) > LOST_AFTER_MS)
}

/// Free capacity of hosts and of team quotas, reduced by the jobs that the round starts.
struct FreeCapacity<'a> {
    /// Free processor cores and memory in GiB of each host that takes work.
    hosts: BTreeMap<&'a HostId, (i64, i64)>,
    /// Processor cores that each team may still use.
    quota_cpus: BTreeMap<&'a str, i64>,
    /// Running jobs, without those that the round preempts.
    running: Vec<(&'a Job, &'a HostId)>,
}

impl<'a> FreeCapacity<'a> {
    fn new(state: &'a State, observed: &ObservedFleet, jobs: &[&'a Job]) -> FreeCapacity<'a> {
        let loads = instance_loads(state);
        let free = state.hosts.iter().filter(|(_, h)| h.takes_work()).map(|(id, h)| {
            let (cpus, memory) = loads.get(id).copied().unwrap_or_default();
            (id, (i64::from(h.cpus) - i64::from(cpus), i64::from(h.memory_gib) - i64::from(memory)))
        });
        let teams = state.fleet_files().flat_map(|f| &f.teams);
        let mut capacity = FreeCapacity {
            hosts: free.collect(),
            quota_cpus: teams.map(|t| (t.name.as_str(), i64::from(t.quota_cpus))).collect(),
            running: Vec::new(),
        };
        for j in jobs {
            if let Some(JobPhase::Running { host }) = state.jobs.get(&j.name).map(|r| &r.phase) {
                let Some((host, _)) = state.hosts.get_key_value(host) else { continue };
                capacity.reserve(j, host, reserved_cpus(observed, host, j));
                capacity.running.push((j, host));
            }
        }
        capacity
    }

    /// Reserves capacity for a job on a host: `cpus` cores of the host, and what the job declares
    /// of the quota and of the memory.
    fn reserve(&mut self, j: &'a Job, host: &'a HostId, cpus: i64) {
        if let Some((free_cpus, free_gib)) = self.hosts.get_mut(host) {
            *free_cpus -= cpus;
            *free_gib -= i64::from(j.memory_gib);
        }
        if let Some(quota) = self.quota_cpus.get_mut(j.team.as_str()) {
            *quota -= i64::from(j.cpus);
        }
    }

    fn fits(&self, host: &HostId, j: &Job) -> bool {
        let (cpus, gib) = self.hosts.get(host).copied().unwrap_or_default();
        cpus >= i64::from(j.cpus) && gib >= i64::from(j.memory_gib)
    }

    /// Changes that start a waiting job, or preempt others for an urgent one; none while the quota of
    /// its team is used up or there is no room for it.
    fn start(&mut self, state: &'a State, j: &'a Job) -> Vec<(JobId, JobChange)> {
        if self.quota_cpus.get(j.team.as_str()).copied().unwrap_or(0) < i64::from(j.cpus) {
            return Vec::new();
        }
        let is_usable = |h: &ManagedHost| h.pool.as_ref() == Some(&j.pool) && h.takes_work();
        let hosts = state.hosts.iter().filter(|(_, h)| is_usable(h)).map(|(id, _)| id);
        let best = hosts.filter(|id| self.fits(id, j)).max_by_key(|id| self.hosts.get(id).map(|free| free.0));
        if let Some(host) = best {
            self.reserve(j, host, i64::from(j.cpus));
            return vec![(j.name.clone(), JobChange::Start { host: host.clone() })];
        }
        if j.class == PriorityClass::Urgent { self.preempt(j) } else { Vec::new() }
    }

    /// Preempts repeatable jobs of lower classes on one host of the pool, the least urgent first.
    /// The urgent job starts in a later round, when they have stopped.
    fn preempt(&mut self, j: &Job) -> Vec<(JobId, JobChange)> {
        let preemptible = |(other, _): &&(&'a Job, &'a HostId)| {
            other.pool == j.pool && other.class > j.class && other.repeatable
        };
        let mut by_host: BTreeMap<&HostId, Vec<&Job>> = BTreeMap::new();
        for (other, host) in self.running.iter().filter(preemptible) {
            by_host.entry(host).or_default().push(other);
        }
        let mut best: Option<(&HostId, Vec<&Job>)> = None;
        for (host, mut jobs) in by_host {
            jobs.sort_by_key(|other| (std::cmp::Reverse(other.class), other.cpus));
            let (mut cpus, mut gib) = self.hosts.get(host).copied().unwrap_or_default();
            let mut preempted = Vec::new();
            for other in jobs {
                if cpus >= i64::from(j.cpus) && gib >= i64::from(j.memory_gib) {
                    break;
                }
                cpus += i64::from(other.cpus);
                gib += i64::from(other.memory_gib);
                preempted.push(other);
            }
            let enough = cpus >= i64::from(j.cpus) && gib >= i64::from(j.memory_gib);
            if enough && best.as_ref().is_none_or(|(_, v)| preempted.len() < v.len()) {
                best = Some((host, preempted));
            }
        }
        let Some((_, preempted)) = best else { return Vec::new() };
        let names: Vec<JobId> = preempted.iter().map(|other| other.name.clone()).collect();
        self.running.retain(|(other, _)| !names.contains(&other.name));
        names.into_iter().map(|n| (n, JobChange::Preempt)).collect()
    }
}

/// Processor cores that a running job reserves: those that it declares, or its reported usage
/// with a margin if that is more.
fn reserved_cpus(observed: &ObservedFleet, host: &HostId, j: &Job) -> i64 {
    let task = observed.hosts.get(host).and_then(|h| h.tasks.iter().find(|t| t.id == j.name));
    let used = task.map_or(0, |t| (t.used_millicores * USAGE_PERCENT / 100).div_ceil(1_000));
    i64::from(j.cpus).max(used as i64)
}
