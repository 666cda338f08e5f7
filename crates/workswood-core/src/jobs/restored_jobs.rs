//! Which stored state belongs to which job of the inbox.
//!
//! A state has the owner of its job in its key. Earlier versions stored it under the number of the job, which jobs of several
//! workspaces may share, and only their states that were stored later have the workspace in their key.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::job::{JobRecord, Outcome};
use super::job_key::{JobKey, JobNumber, JobOwner};
use super::spec::JobSpec;

/// A job, as far as it is stored.
#[derive(Debug)]
pub struct RestoredJob {
    /// The job.
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
    pub namesakes: Vec<(JobNumber, Arc<JobSpec>)>,
}

/// Joins the jobs of the inbox with the stored states, each with that of its own owner. Of a job that was submitted
/// at several entries the earliest submission counts.
pub fn join_states(
    submitted: impl IntoIterator<Item = (JobNumber, Arc<JobSpec>)>,
    states: impl IntoIterator<Item = (JobKey, JobRecord)>,
) -> RestoredJobs {
    let mut by_number: BTreeMap<JobNumber, StoredJobs> = BTreeMap::new();
    for (number, spec) in submitted {
        keep_earliest(&mut by_number.entry(number).or_default().submitted, spec);
    }
    for (key, state) in states {
        by_number.entry(key.number).or_default().states.push((key, state));
    }
    let mut restored = RestoredJobs::default();
    for (number, StoredJobs { mut submitted, mut states }) in by_number {
        let has_state = !states.is_empty();
        // Those that have ended first: a job at work may come after them.
        states.sort_by_key(|(_, state)| state.over.is_none());
        for (key, state) in states {
            restored.jobs.push(join(key, &mut submitted, state));
        }
        if !has_state {
            restored.jobs.extend(first_submitted(number, &mut submitted));
        }
        restored.namesakes.extend(submitted.into_values().map(|spec| (number, spec)));
    }
    restored.namesakes.sort_by_key(|(_, spec)| spec.accepted_at);
    restored
}

/// What is stored under one number.
#[derive(Default)]
struct StoredJobs {
    submitted: BTreeMap<JobOwner, Arc<JobSpec>>,
    states: Vec<(JobKey, JobRecord)>,
}

/// Keeps the earliest submission of each owner.
fn keep_earliest(by_owner: &mut BTreeMap<JobOwner, Arc<JobSpec>>, spec: Arc<JobSpec>) {
    let known = by_owner.get(&spec.job_owner());
    if known.is_none_or(|known| spec.accepted_at < known.accepted_at) {
        by_owner.insert(spec.job_owner(), spec);
    }
}

/// The owner of the job that was accepted first.
fn first_owner(by_owner: &BTreeMap<JobOwner, Arc<JobSpec>>) -> Option<JobOwner> {
    by_owner.iter().min_by_key(|(_, spec)| spec.accepted_at).map(|(owner, _)| *owner)
}

/// Takes the job of a number that was accepted first.
fn first_submitted(
    number: JobNumber,
    by_owner: &mut BTreeMap<JobOwner, Arc<JobSpec>>,
) -> Option<RestoredJob> {
    let spec = by_owner.remove(&first_owner(by_owner)?)?;
    Some(RestoredJob { key: spec.key(number), spec: Some(spec), state: None })
}

/// Joins a state with the job that it belongs to. A state without an owner, as earlier versions wrote it, belongs to the only
/// job that it fits. If it fits several, what was begun of them must not begin again: the first one has failed.
fn join(key: JobKey, by_owner: &mut BTreeMap<JobOwner, Arc<JobSpec>>, state: JobRecord) -> RestoredJob {
    let told = match key.has_queue() {
        true => Some(key.owner),
        false => state.owner().map(JobOwner::of_workspace),
    };
    let (owner, state) = match told.or_else(|| only_fitting(by_owner, &state)) {
        Some(owner) => (Some(owner), state),
        None => (first_owner(by_owner), JobRecord { outcome: Some(Outcome::Failed), ..state }),
    };
    let spec = owner.and_then(|owner| by_owner.remove(&owner));
    let key = JobKey { owner: owner.unwrap_or(key.owner), ..key };
    RestoredJob { key, spec, state: Some(state) }
}

/// The owner of the only job that a state can belong to.
fn only_fitting(by_owner: &BTreeMap<JobOwner, Arc<JobSpec>>, state: &JobRecord) -> Option<JobOwner> {
    if by_owner.len() == 1 {
        return by_owner.keys().next().copied();
    }
    let mut fitting = by_owner.iter().filter(|(_, spec)| state.matches_spec(spec));
    match (fitting.next(), fitting.next()) {
        (Some((owner, _)), None) => Some(*owner),
        _ => None,
    }
}
