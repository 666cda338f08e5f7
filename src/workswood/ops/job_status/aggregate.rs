//! Computes the status from the records that were read.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use workswood_core::ids::{DataCentre, HostId, Term, UnixMs, WorkspaceId};
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{
    Host, HostState, JobKey, JobOwner, JobRecord, JobSpec, Outcome, SchedConfig, Wave, WaveRecord,
};
use workswood_platform::jobs::{JobPlatform, KeyedRecord, OperatorRecord};

use super::StatusInputs;
use crate::ops::jobs::record::{InboxKey, InboxRecordKind, StateKey, parse_inbox_key, parse_state_key};
use crate::ops::jobs::{job_spec, job_state};

/// Prefix of the state keys under which the scheduler stores the progress of waves.
const WAVE_KEY_PREFIX: &str = "wave-";

/// State of the lease, queues, workspaces, pools and waves.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct JobsStatus {
    /// When the status was read, in milliseconds since 1970.
    #[serde(rename = "at")]
    pub read_at: UnixMs,
    /// Version of the configuration in force; 0 for none.
    pub config_version: u64,
    /// Data centres that are evacuated.
    pub evacuated: BTreeSet<DataCentre>,
    /// Holder of the scheduler lease; `None` if the topic has no readable record.
    pub holder: Option<HolderStatus>,
    /// Jobs by queue.
    pub queues: Vec<QueueStatus>,
    /// Workspaces of the configuration in force.
    pub workspaces: Vec<WorkspaceStatus>,
    /// Hosts and workers by pool.
    pub pools: Vec<PoolStatus>,
    /// Why the host list could not be read.
    #[serde(rename = "machines_error")]
    pub hosts_error: Option<String>,
    /// Maintenance waves that operators requested.
    pub waves: Vec<WaveStatus>,
    /// Number of records that could not be decoded.
    #[serde(rename = "unread")]
    pub undecodable_records: usize,
}

/// The lease holder, as recorded in the store.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HolderStatus {
    /// Name of the holder's entry.
    pub name: String,
    /// Incarnation of the holder's process.
    #[serde(rename = "id")]
    pub incarnation: String,
    /// Address of its peer listener.
    #[serde(rename = "peers")]
    pub peer_address: String,
    /// Term of the lease.
    pub term: Term,
    /// Whether the holder released the lease.
    #[serde(default)]
    pub released: bool,
    /// Whether the holder renewed the lease while the status was read.
    #[serde(default)]
    pub renewing: bool,
}

/// Jobs of one queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct QueueStatus {
    /// Name of the queue. A queue that was removed from the configuration may still have jobs.
    pub queue: String,
    /// Service whose workers run the jobs.
    pub service: String,
    /// Accepted jobs that no lease holder has loaded yet.
    #[serde(rename = "not_taken_in")]
    pub not_yet_loaded: usize,
    /// Loaded jobs none of whose tasks has started.
    pub queued: usize,
    /// Unfinished jobs of which at least one task has started.
    pub running: usize,
    /// Completed jobs that are still retained.
    pub completed: usize,
    /// Failed jobs that are still retained.
    pub failed: usize,
    /// Cancelled jobs that are still retained.
    pub canceled: usize,
    /// Running tasks of unfinished jobs.
    pub tasks_running: usize,
    /// Unfinished tasks of unfinished jobs, in the rounds that are due.
    pub tasks_open: usize,
    /// Time since the oldest job without a started task was accepted, in milliseconds.
    pub longest_wait_ms: u64,
}

/// A workspace of the configuration in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WorkspaceStatus {
    /// Name of the workspace.
    pub workspace: WorkspaceId,
    /// Guaranteed rate in jobs per second.
    #[serde(rename = "weight")]
    pub guaranteed_jobs_per_s: f64,
    /// Unfinished jobs of the workspace.
    #[serde(rename = "open")]
    pub open_jobs: usize,
    /// Running tasks of these jobs.
    pub tasks_running: usize,
    /// Resources that the running tasks use.
    #[serde(rename = "at_work")]
    pub resources_in_use: Resources,
    /// Limit on the resources in use; 0 means no limit.
    pub limit: Resources,
}

/// Hosts and workers of one pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PoolStatus {
    /// Service that owns the pool.
    pub pool: String,
    /// Whether the hosts of the pool are switched off.
    pub spare: bool,
    /// Hosts that are up.
    pub up: usize,
    /// Hosts that are changing their pool.
    pub moving: usize,
    /// Hosts in maintenance.
    #[serde(rename = "upkeep")]
    pub in_maintenance: usize,
    /// Hosts that are down.
    pub down: usize,
    /// Registered workers.
    pub workers: usize,
    /// Registered workers that are draining.
    pub draining: usize,
}

/// A maintenance wave.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WaveStatus {
    /// Number of the wave.
    pub wave: u64,
    /// Number of hosts to maintain.
    #[serde(rename = "machines")]
    pub hosts: usize,
    /// Most hosts that may be down at the same time.
    #[serde(rename = "most_at_once")]
    pub max_down: usize,
    /// Time allowed for the whole wave, in milliseconds.
    #[serde(rename = "within_ms")]
    pub time_allowed_ms: u64,
    /// Hosts without a recorded maintenance order.
    pub waiting: Vec<HostId>,
    /// Hosts whose maintenance was ordered and has not finished.
    pub down: Vec<HostId>,
    /// Number of hosts that are up again after maintenance.
    pub finished: usize,
    /// Whether the wave was published as complete.
    pub complete: bool,
}

/// Configuration, waves and evacuations from the operators' records.
#[derive(Default)]
struct OperatorState {
    cfg: SchedConfig,
    waves: Vec<Wave>,
    evacuated: BTreeSet<DataCentre>,
}

/// Decodes records and counts those that can't be decoded.
struct RecordDecoder {
    undecodable: usize,
}

impl RecordDecoder {
    fn decode_json<T: for<'a> Deserialize<'a>>(&mut self, rec: &KeyedRecord) -> Option<T> {
        let value = rec.value.as_deref()?;
        let decoded = serde_json::from_slice(value).ok();
        self.undecodable += usize::from(decoded.is_none());
        decoded
    }

    fn decode_job_spec(&mut self, rec: &KeyedRecord) -> Option<JobSpec> {
        let decoded = job_spec::decode(rec.value.as_deref()?).ok();
        self.undecodable += usize::from(decoded.is_none());
        decoded
    }

    fn decode_job_state(&mut self, rec: &KeyedRecord) -> Option<JobRecord> {
        let decoded = job_state::decode(rec.value.as_deref()?).ok();
        self.undecodable += usize::from(decoded.is_none());
        decoded
    }

    fn decode_operator_records(
        &mut self,
        platform: &dyn JobPlatform,
        records: &[KeyedRecord],
    ) -> OperatorState {
        let mut operator_state = OperatorState::default();
        for rec in records {
            match platform.parse_operator_record(rec) {
                Ok(Some(OperatorRecord::Config(c))) => operator_state.cfg = c,
                Ok(Some(OperatorRecord::Wave(w))) => operator_state.waves.push(w),
                Ok(Some(OperatorRecord::Evacuation { data_centre, evacuated: true })) => {
                    operator_state.evacuated.insert(data_centre);
                }
                Ok(Some(OperatorRecord::Evacuation { evacuated: false, .. })) => {}
                Ok(None) => {}
                Err(_) => self.undecodable += 1,
            }
        }
        operator_state.waves.sort_by_key(|w| w.number);
        operator_state
    }
}

/// Computes the status from the records that were read.
pub fn aggregate_status(platform: &dyn JobPlatform, inputs: &StatusInputs) -> JobsStatus {
    let mut decoder = RecordDecoder { undecodable: 0 };
    let holder = inputs.lease.as_ref().and_then(|rec| decoder.decode_json::<HolderStatus>(rec));
    let OperatorState { cfg, waves, evacuated } =
        decoder.decode_operator_records(platform, &inputs.operators);
    let submitted = submitted_jobs(&mut decoder, inputs);
    let mut jobs: BTreeMap<JobKey, JobRecord> = BTreeMap::new();
    let mut progress: BTreeMap<u64, WaveRecord> = BTreeMap::new();
    for rec in &inputs.state {
        if let Some(StateKey::Job(key, _)) = parse_state_key(&rec.key) {
            jobs.extend(decoder.decode_job_state(rec).map(|j| (stored_key(key, &j, &submitted), j)));
        } else if let Some(n) = rec.key.strip_prefix(WAVE_KEY_PREFIX).and_then(|n| n.parse().ok()) {
            progress.extend(decoder.decode_json(rec).map(|w| (n, w)));
        }
    }
    let queues = queues(&cfg, inputs.read_at, &submitted, &jobs);
    let workspaces = workspaces(&cfg, &submitted, &jobs);
    let pools = pools(&mut decoder, platform, &cfg, inputs);
    let wave = |w: Wave| {
        let complete = inputs.published.contains(&platform.wave_status_record(w.number, true));
        wave_status(&w, progress.get(&w.number).cloned().unwrap_or_default(), complete)
    };
    JobsStatus {
        read_at: inputs.read_at,
        config_version: cfg.version,
        evacuated,
        holder: holder.map(|h| HolderStatus { renewing: inputs.renewed && !h.released, ..h }),
        queues,
        workspaces,
        pools,
        hosts_error: inputs.hosts.as_ref().err().cloned(),
        waves: waves.into_iter().map(wave).collect(),
        undecodable_records: decoder.undecodable,
    }
}

/// The key of a stored job. Earlier versions stored it under its number, with the workspace in the state alone or not at all.
fn stored_key(key: JobKey, state: &JobRecord, submitted: &BTreeMap<JobKey, JobSpec>) -> JobKey {
    if key.has_queue() {
        return key;
    }
    let told = JobKey { owner: JobOwner::of_workspace(state.owner().unwrap_or_default()), ..key };
    if submitted.contains_key(&told) {
        return told;
    }
    let mut of_number = submitted.range(JobKey::all_of(key.number)).map(|(key, _)| *key);
    of_number.find(|key| !key.has_queue()).unwrap_or(told)
}

/// Submitted jobs by key; of several records for one key, the one accepted first.
fn submitted_jobs(decoder: &mut RecordDecoder, inputs: &StatusInputs) -> BTreeMap<JobKey, JobSpec> {
    let mut all: BTreeMap<JobKey, JobSpec> = BTreeMap::new();
    for rec in &inputs.inbox {
        let Some(InboxKey { job, kind: InboxRecordKind::Job, .. }) = parse_inbox_key(&rec.key) else {
            continue;
        };
        let Some(spec) = decoder.decode_job_spec(rec) else { continue };
        let job = spec.key(job.number);
        if all.get(&job).is_none_or(|first| spec.accepted_at < first.accepted_at) {
            all.insert(job, spec);
        }
    }
    all
}

fn workspaces(
    cfg: &SchedConfig,
    submitted: &BTreeMap<JobKey, JobSpec>,
    jobs: &BTreeMap<JobKey, JobRecord>,
) -> Vec<WorkspaceStatus> {
    let declared = cfg.workspaces.by_owner.values().map(|w| WorkspaceStatus {
        workspace: w.name.clone(),
        guaranteed_jobs_per_s: w.jobs_per_s,
        limit: w.limit,
        ..WorkspaceStatus::default()
    });
    let mut all: BTreeMap<WorkspaceId, WorkspaceStatus> =
        declared.map(|w| (w.workspace.clone(), w)).collect();
    for (key, spec) in submitted {
        let Some(w) = spec.workspace.as_ref().and_then(|name| all.get_mut(name)) else { continue };
        w.count_job(spec, jobs.get(key));
    }
    all.into_values().collect()
}

impl WorkspaceStatus {
    fn count_job(&mut self, spec: &JobSpec, rec: Option<&JobRecord>) {
        self.open_jobs += usize::from(rec.is_none_or(|r| r.outcome.is_none()));
        for (step, tasks) in rec.into_iter().flat_map(|r| &r.rounds).flat_map(|r| spec.steps.iter().zip(r)) {
            let running = tasks.iter().filter(|t| !t.done && !t.runs.is_empty()).count();
            self.tasks_running += running;
            self.resources_in_use.add(&step.resources.times(running as u64));
        }
    }
}

fn queues(
    cfg: &SchedConfig,
    now: UnixMs,
    submitted: &BTreeMap<JobKey, JobSpec>,
    jobs: &BTreeMap<JobKey, JobRecord>,
) -> Vec<QueueStatus> {
    let empty = |queue: &String, service: &String| QueueStatus {
        queue: queue.clone(),
        service: service.clone(),
        ..QueueStatus::default()
    };
    let mut all: BTreeMap<String, QueueStatus> =
        cfg.queues.values().map(|q| (q.name.clone(), empty(&q.name, &q.service))).collect();
    for (key, spec) in submitted {
        let q = all.entry(spec.queue.clone()).or_insert_with(|| empty(&spec.queue, &spec.service));
        q.count_job(spec, jobs.get(key), now);
    }
    // Only the state records of ended jobs are still stored.
    let ended = jobs.iter().filter(|(key, _)| !submitted.contains_key(*key));
    for (rec, over) in ended.filter_map(|(_, rec)| Some((rec, rec.over.as_ref()?))) {
        let q = all.entry(over.queue.clone()).or_insert_with(|| empty(&over.queue, &over.service));
        q.count_outcome(rec.outcome);
    }
    all.into_values().collect()
}

impl QueueStatus {
    fn count_outcome(&mut self, outcome: Option<Outcome>) {
        match outcome {
            Some(Outcome::Completed) => self.completed += 1,
            Some(Outcome::Failed) => self.failed += 1,
            Some(Outcome::Canceled) => self.canceled += 1,
            None => {}
        }
    }

    fn count_job(&mut self, spec: &JobSpec, rec: Option<&JobRecord>, now: UnixMs) {
        if rec.is_none_or(|r| r.outcome.is_none() && !r.started) {
            self.longest_wait_ms = self.longest_wait_ms.max(now.saturating_sub(spec.accepted_at));
        }
        let Some(rec) = rec else {
            self.not_yet_loaded += 1;
            return;
        };
        self.count_outcome(rec.outcome);
        if rec.outcome.is_none() {
            let count = if rec.started { &mut self.running } else { &mut self.queued };
            *count += 1;
            let tasks = || rec.rounds.iter().flatten().flatten();
            self.tasks_running += tasks().filter(|t| !t.done && !t.runs.is_empty()).count();
            self.tasks_open += tasks().filter(|t| !t.done).count();
        }
    }
}

fn pools(
    decoder: &mut RecordDecoder,
    platform: &dyn JobPlatform,
    cfg: &SchedConfig,
    inputs: &StatusInputs,
) -> Vec<PoolStatus> {
    let mut all: BTreeMap<String, PoolStatus> = BTreeMap::new();
    for s in cfg.services.values() {
        all.entry(s.name.clone()).or_default().spare = s.spare;
    }
    for host in inputs.hosts.iter().flatten() {
        all.entry(host.pool.clone()).or_default().count_host(host);
    }
    for rec in &inputs.workers {
        let Ok(w) = platform.parse_worker_info(rec) else {
            decoder.undecodable += 1;
            continue;
        };
        let p = all.entry(w.service).or_default();
        p.workers += 1;
        p.draining += usize::from(w.draining);
    }
    all.into_iter().map(|(pool, p)| PoolStatus { pool, ..p }).collect()
}

impl PoolStatus {
    fn count_host(&mut self, host: &Host) {
        match host.state {
            HostState::Up => self.up += 1,
            HostState::Moving => self.moving += 1,
            HostState::Upkeep => self.in_maintenance += 1,
            HostState::Down => self.down += 1,
        }
    }
}

fn wave_status(w: &Wave, rec: WaveRecord, complete: bool) -> WaveStatus {
    let finished = |host: &&HostId| rec.finished.contains(*host);
    let down = rec.ordered.keys().filter(|host| !rec.finished.contains(*host));
    let waiting = w.hosts.iter().filter(|host| !rec.ordered.contains_key(*host) && !finished(host));
    WaveStatus {
        wave: w.number,
        hosts: w.hosts.len(),
        max_down: w.max_down,
        time_allowed_ms: w.time_allowed.as_millis() as u64,
        waiting: waiting.cloned().collect(),
        down: down.cloned().collect(),
        finished: w.hosts.iter().filter(finished).count(),
        complete,
    }
}
