//! Which jobs start where, which are stopped for urgent ones, and which have
//! ended.

use std::collections::BTreeMap;

use super::observed::ObservedFleet;
use super::place::loads;
use crate::fleet::{Class, Job};
use crate::fold::{HostRec, JobPhase, JobRec, State};
use crate::ids::{HostId, JobId, Term, UnixMs};
use crate::record::{JobStep, Record};

/// Jobs started in one round, so that one record batch stays small.
const MOST_STARTS: usize = 256;
/// How long a job on a lost host is given to be seen again.
const LOST_AFTER_MS: UnixMs = 30_000;
/// A running job counts with its declared size or this many percent of its
/// reported use, whichever is more.
const USE_MARGIN_PERCENT: u64 = 120;

/// Records of jobs that end, start or are stopped now.
pub(super) fn records(state: &State, observed: &ObservedFleet, now: UnixMs, term: Term) -> Vec<Record> {
    let jobs: Vec<&Job> = state.declared_jobs().collect();
    if jobs.is_empty() {
        return Vec::new();
    }
    let mut steps = ended(state, observed, now);
    let mut room = Room::new(state, observed, &jobs);
    let mut waiting: Vec<&&Job> = jobs.iter().filter(|j| waits(state, &j.name)).collect();
    waiting.sort_by_key(|j| (j.class, j.name.clone()));
    for j in waiting.into_iter().take(MOST_STARTS) {
        steps.extend(room.start(state, j));
    }
    steps.into_iter().map(|(job, step)| Record::Job { term, job, step }).collect()
}

fn waits(state: &State, job: &str) -> bool {
    state.jobs.get(job).is_none_or(|r| r.phase == JobPhase::Waiting)
}

/// Jobs whose end the list shows, and jobs lost with their host.
fn ended(state: &State, observed: &ObservedFleet, now: UnixMs) -> Vec<(JobId, JobStep)> {
    let running = state.jobs.iter().filter_map(|(id, r)| match &r.phase {
        JobPhase::Running { host } => Some((id, r, host)),
        _ => None,
    });
    let end = |(id, r, host): (&JobId, &JobRec, &HostId)| {
        let on = observed.hosts.get(host);
        let task = on.and_then(|h| h.tasks.iter().find(|t| t.id == *id && t.token == r.token));
        if let Some(ok) = task.and_then(|t| t.ended) {
            return Some((id.clone(), JobStep::End { ok }));
        }
        // What the list shows on a host that is gone is old.
        lost(state, host, r, now).then(|| (id.clone(), JobStep::Lost))
    };
    running.filter_map(end).collect()
}

/// Whether a running job's host has been gone for too long.
fn lost(state: &State, host: &HostId, r: &JobRec, now: UnixMs) -> bool {
    let gone = state.hosts.get(host).map_or(Some(r.since), |h| (!h.up).then_some(h.since.max(r.since)));
    gone.is_some_and(|since| now.saturating_sub(since) > LOST_AFTER_MS)
}

/// Room on hosts and in quotas, kept up to date by the round.
struct Room<'a> {
    free: BTreeMap<&'a HostId, (i64, i64)>,
    quota: BTreeMap<&'a str, i64>,
    running: Vec<(&'a Job, &'a HostId)>,
}

impl<'a> Room<'a> {
    fn new(state: &'a State, observed: &ObservedFleet, jobs: &[&'a Job]) -> Room<'a> {
        let load = loads(state);
        let free = state.hosts.iter().filter(|(_, h)| h.takes_work()).map(|(id, h)| {
            let (cpus, memory) = load.get(id).copied().unwrap_or_default();
            (id, (i64::from(h.cpus) - i64::from(cpus), i64::from(h.memory_gib) - i64::from(memory)))
        });
        let teams = state.fleet_files().flat_map(|f| &f.teams);
        let mut room = Room {
            free: free.collect(),
            quota: teams.map(|t| (t.name.as_str(), i64::from(t.quota_cpus))).collect(),
            running: Vec::new(),
        };
        for j in jobs {
            if let Some(JobPhase::Running { host }) = state.jobs.get(&j.name).map(|r| &r.phase) {
                let Some((host, _)) = state.hosts.get_key_value(host) else { continue };
                room.take(j, host, cautious_cpus(observed, host, j));
                room.running.push((j, host));
            }
        }
        room
    }

    fn take(&mut self, j: &'a Job, host: &'a HostId, cpus: i64) {
        if let Some((c, m)) = self.free.get_mut(host) {
            *c -= cpus;
            *m -= i64::from(j.memory_gib);
        }
        if let Some(q) = self.quota.get_mut(j.team.as_str()) {
            *q -= i64::from(j.cpus);
        }
    }

    fn fits(&self, host: &HostId, j: &Job) -> bool {
        let room = self.free.get(host).copied().unwrap_or_default();
        room.0 >= i64::from(j.cpus) && room.1 >= i64::from(j.memory_gib)
    }

    fn start(&mut self, state: &'a State, j: &'a Job) -> Vec<(JobId, JobStep)> {
        if self.quota.get(j.team.as_str()).copied().unwrap_or(0) < i64::from(j.cpus) {
            return Vec::new();
        }
        let in_pool = |h: &HostRec| h.pool.as_ref() == Some(&j.pool) && h.takes_work();
        let hosts = state.hosts.iter().filter(|(_, h)| in_pool(h)).map(|(id, _)| id);
        let best = hosts.filter(|id| self.fits(id, j)).max_by_key(|id| self.free.get(id).map(|f| f.0));
        if let Some(host) = best {
            self.take(j, host, i64::from(j.cpus));
            return vec![(j.name.clone(), JobStep::Start { host: host.clone() })];
        }
        if j.class == Class::Urgent { self.preempt(j) } else { Vec::new() }
    }

    /// Stops the least urgent repeatable jobs of one host of the pool; the
    /// urgent job starts there when they are gone.
    fn preempt(&mut self, j: &Job) -> Vec<(JobId, JobStep)> {
        let lower = |(o, _): &&(&'a Job, &'a HostId)| o.pool == j.pool && o.class > j.class && o.repeatable;
        let mut by_host: BTreeMap<&HostId, Vec<&Job>> = BTreeMap::new();
        for (o, host) in self.running.iter().filter(lower) {
            by_host.entry(host).or_default().push(o);
        }
        let mut best: Option<(&HostId, Vec<&Job>)> = None;
        for (host, mut jobs) in by_host {
            jobs.sort_by_key(|o| (std::cmp::Reverse(o.class), o.cpus));
            let mut room = self.free.get(host).copied().unwrap_or_default();
            let mut victims = Vec::new();
            for o in jobs {
                if room.0 >= i64::from(j.cpus) && room.1 >= i64::from(j.memory_gib) {
                    break;
                }
                room.0 += i64::from(o.cpus);
                room.1 += i64::from(o.memory_gib);
                victims.push(o);
            }
            let enough = room.0 >= i64::from(j.cpus) && room.1 >= i64::from(j.memory_gib);
            if enough && best.as_ref().is_none_or(|(_, v)| victims.len() < v.len()) {
                best = Some((host, victims));
            }
        }
        let Some((_, victims)) = best else { return Vec::new() };
        let names: Vec<JobId> = victims.iter().map(|o| o.name.clone()).collect();
        self.running.retain(|(o, _)| !names.contains(&o.name));
        names.into_iter().map(|n| (n, JobStep::Preempt)).collect()
    }
}

/// Declared processors or more than the reported use, in whole cores.
fn cautious_cpus(observed: &ObservedFleet, host: &HostId, j: &Job) -> i64 {
    let task = observed.hosts.get(host).and_then(|h| h.tasks.iter().find(|t| t.id == j.name));
    let used = task.map_or(0, |t| (t.used_millicores * USE_MARGIN_PERCENT / 100).div_ceil(1_000));
    i64::from(j.cpus).max(used as i64)
}
