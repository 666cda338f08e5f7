//! Which stored state belongs to which job of the inbox.
//!
//! The state is stored under the number of a job, which jobs of several owners may share. Their states that were
//! stored later have the owner in their key.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::job::{JobRecord, Outcome};
use super::spec::{JobKey, JobSpec};
use super::workspace::Owner;

/// A job, as far as it is stored.
#[derive(Debug)]
pub struct RestoredJob {
    /// Its number.
    pub key: JobKey,
    /// What was submitted, if the inbox still holds it.
    pub spec: Option<Arc<JobSpec>>,
    /// Its state, if it has one.
    pub state: Option<JobRecord>,
}

/// The jobs that are stored.
#[derive(Debug, Default)]
pub struct RestoredJobs {
    /// Jobs with a state, and of each number without one the job that comes first.
    pub jobs: Vec<RestoredJob>,
    /// Submitted jobs without a state whose number a job of another owner has, the earliest first.
    pub namesakes: Vec<(JobKey, Arc<JobSpec>)>,
}

/// Joins the jobs of the inbox with the stored states, each with that of its own owner. Of a job that was submitted
/// at several entries the earliest submission counts.
pub fn join_states(
    submitted: impl IntoIterator<Item = (JobKey, Arc<JobSpec>)>,
    states: impl IntoIterator<Item = (JobKey, JobRecord)>,
) -> RestoredJobs {
    let mut by_key: BTreeMap<JobKey, StoredJobs> = BTreeMap::new();
    for (key, spec) in submitted {
        keep_earliest(&mut by_key.entry(key).or_default().submitted, spec);
    }
    for (key, state) in states {
        by_key.entry(key).or_default().states.push(state);
    }
    let mut restored = RestoredJobs::default();
    for (key, StoredJobs { mut submitted, mut states }) in by_key {
        let has_state = !states.is_empty();
        // Those that have ended first: a job at work may come after them.
        states.sort_by_key(|state| state.over.is_none());
        for state in states {
            restored.jobs.push(join(key, &mut submitted, Some(state)));
        }
        if !has_state {
            restored.jobs.push(join(key, &mut submitted, None));
        }
        restored.namesakes.extend(submitted.into_values().map(|spec| (key, spec)));
    }
    restored.namesakes.sort_by_key(|(_, spec)| spec.accepted_at);
    restored
}

/// What is stored under one number.
#[derive(Default)]
struct StoredJobs {
    submitted: BTreeMap<Owner, Arc<JobSpec>>,
    states: Vec<JobRecord>,
}

/// Keeps the earliest submission of each owner.
fn keep_earliest(by_owner: &mut BTreeMap<Owner, Arc<JobSpec>>, spec: Arc<JobSpec>) {
    let known = by_owner.get(&spec.owner());
    if known.is_none_or(|known| spec.accepted_at < known.accepted_at) {
        by_owner.insert(spec.owner(), spec);
    }
}

/// Joins the state of a number with the job that it belongs to; without a state, takes the job that was accepted
/// first. A state without an owner, as earlier versions wrote it, belongs to the only job that it fits. If it fits
/// several, what was begun of them must not begin again: the first one has failed.
fn join(key: JobKey, by_owner: &mut BTreeMap<Owner, Arc<JobSpec>>, state: Option<JobRecord>) -> RestoredJob {
    let first = by_owner.iter().min_by_key(|(_, spec)| spec.accepted_at).map(|(owner, _)| *owner);
    let (owner, state) = match state {
        None => (first, None),
        Some(state) => match state.owner().or_else(|| only_fitting(by_owner, &state)) {
            Some(owner) => (Some(owner), Some(state)),
            None => (first, Some(JobRecord { outcome: Some(Outcome::Failed), ..state })),
        },
    };
    RestoredJob { key, spec: owner.and_then(|owner| by_owner.remove(&owner)), state }
}

/// The owner of the only job that a state can belong to.
fn only_fitting(by_owner: &BTreeMap<Owner, Arc<JobSpec>>, state: &JobRecord) -> Option<Owner> {
    if by_owner.len() == 1 {
        return by_owner.keys().next().copied();
    }
    let mut fitting = by_owner.iter().filter(|(_, spec)| state.matches_spec(spec));
    match (fitting.next(), fitting.next()) {
        (Some((owner, _)), None) => Some(*owner),
        _ => None,
    }
}
