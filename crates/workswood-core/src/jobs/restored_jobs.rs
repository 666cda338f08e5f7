//! Which stored state belongs to which job of the inbox.
//!
//! The state is stored under the number of a job, which jobs of several owners may share.

use std::collections::{BTreeMap, HashMap};
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
    /// One job of each number.
    pub jobs: Vec<RestoredJob>,
    /// Submitted jobs whose number a job of another owner has, the earliest first.
    pub namesakes: Vec<(JobKey, Arc<JobSpec>)>,
}

/// Joins the jobs of the inbox with the stored states, each with that of its own owner. Of a job that was submitted
/// at several entries the earliest submission counts.
pub fn join_states(
    submitted: impl IntoIterator<Item = (JobKey, Arc<JobSpec>)>,
    mut states: HashMap<JobKey, JobRecord>,
) -> RestoredJobs {
    let mut by_key: BTreeMap<JobKey, BTreeMap<Owner, Arc<JobSpec>>> = BTreeMap::new();
    for (key, spec) in submitted {
        keep_earliest(by_key.entry(key).or_default(), spec);
    }
    let mut restored = RestoredJobs::default();
    for (key, mut by_owner) in by_key {
        restored.jobs.push(join(key, &mut by_owner, states.remove(&key)));
        restored.namesakes.extend(by_owner.into_values().map(|spec| (key, spec)));
    }
    let without_spec =
        states.into_iter().map(|(key, state)| RestoredJob { key, spec: None, state: Some(state) });
    restored.jobs.extend(without_spec);
    restored.namesakes.sort_by_key(|(_, spec)| spec.accepted_at);
    restored
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
