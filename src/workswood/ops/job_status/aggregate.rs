//! Makes the status of what was read.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use workswood_core::ids::{DataCentre, HostId, Term, UnixMs, WorkspaceId};
use workswood_core::jobs::spec::{Resources, parse_job_key};
use workswood_core::jobs::{
    Host, HostState, JobKey, JobRecord, JobSpec, Outcome, SchedConfig, Wave, WaveRecord,
};
use workswood_platform::jobs::{JobPlatform, KeyedRecord, OperatorRecord};

use super::StatusInputs;
use crate::ops::jobs::record::{InboxItem, InboxKey, inbox_key};
use crate::ops::jobs::{job_spec, job_state};

/// Start of the key under which the scheduler keeps the progress of a wave.
const WAVE: &str = "wave-";

/// How jobs, pools and waves stand.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct JobsStatus {
    /// When it was read, in milliseconds since 1970.
    pub at: UnixMs,
    /// Version of the configuration in force; 0 for none.
    pub config_version: u64,
    /// Data centres that operators have evacuated.
    pub evacuated: BTreeSet<DataCentre>,
    /// Who holds the scheduler lease.
    pub holder: Option<HolderStatus>,
    /// Jobs by queue.
    pub queues: Vec<QueueStatus>,
    /// Workspaces in force.
    pub workspaces: Vec<WorkspaceStatus>,
    /// Hosts and workers by pool.
    pub pools: Vec<PoolStatus>,
    /// Why hosts are not known, if they are not.
    #[serde(rename = "machines_error")]
    pub hosts_error: Option<String>,
    /// Waves that operators asked for.
    pub waves: Vec<WaveStatus>,
    /// Records that can't be read.
    pub unread: usize,
}

/// The lease holder, as the store has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct HolderStatus {
    /// Name of its entry.
    pub name: String,
    /// This life of its process.
    pub id: String,
    /// Its peer listener.
    pub peers: String,
    /// Its term.
    pub term: Term,
    /// Whether it gave the lease back.
    #[serde(default)]
    pub released: bool,
    /// Whether it renewed the lease while the status was read.
    #[serde(default)]
    pub renewing: bool,
}

/// Jobs of a queue.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct QueueStatus {
    /// The queue; one that is no longer in force may still have jobs.
    pub queue: String,
    /// Service whose workers run its jobs.
    pub service: String,
    /// Accepted jobs that no lease holder has taken in.
    pub not_taken_in: usize,
    /// Jobs of which nothing has begun.
    pub queued: usize,
    /// Jobs of which something has begun.
    pub running: usize,
    /// Ended jobs that are still kept.
    pub completed: usize,
    /// Likewise, failed ones.
    pub failed: usize,
    /// Likewise, cancelled ones.
    pub canceled: usize,
    /// Tasks of open jobs that run somewhere.
    pub tasks_running: usize,
    /// Tasks of open jobs, of the rounds that are due, that are not done.
    pub tasks_open: usize,
    /// How long ago the oldest job that has not begun was accepted.
    pub longest_wait_ms: u64,
}

/// A workspace that is in force.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WorkspaceStatus {
    /// Its name.
    pub workspace: WorkspaceId,
    /// Jobs a second that it may count on.
    pub weight: f64,
    /// Its jobs that are not over.
    pub open: usize,
    /// Tasks of them that run somewhere.
    pub tasks_running: usize,
    /// What those take.
    pub at_work: Resources,
    /// What they may take; what is 0 has no limit.
    pub limit: Resources,
}

/// Hosts and workers of a pool.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct PoolStatus {
    /// The service whose pool it is.
    pub pool: String,
    /// Whether its hosts are off.
    pub spare: bool,
    /// Hosts that are up.
    pub up: usize,
    /// Hosts that change their pool.
    pub moving: usize,
    /// Hosts that are being maintained.
    pub upkeep: usize,
    /// Hosts that are down.
    pub down: usize,
    /// Workers that are listed.
    pub workers: usize,
    /// Of these, workers that are leaving.
    pub draining: usize,
}

/// A maintenance wave.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct WaveStatus {
    /// Its number.
    pub wave: u64,
    /// Hosts to maintain.
    #[serde(rename = "machines")]
    pub hosts: usize,
    /// How many may be down at once.
    pub most_at_once: usize,
    /// Time allowed for all of them.
    pub within_ms: u64,
    /// Hosts with which nothing has begun that is on record.
    pub waiting: Vec<HostId>,
    /// Hosts that are, or may be, down for it.
    pub down: Vec<HostId>,
    /// How many are up again.
    pub finished: usize,
    /// Whether operators were told that it is complete.
    pub complete: bool,
}

/// What operators wrote.
#[derive(Default)]
struct Wishes {
    cfg: SchedConfig,
    waves: Vec<Wave>,
    evacuated: BTreeSet<DataCentre>,
}

/// What is told by the records of one kind.
struct Reader {
    unread: usize,
}

impl Reader {
    fn read<T: for<'a> Deserialize<'a>>(&mut self, rec: &KeyedRecord) -> Option<T> {
        let value = rec.value.as_deref()?;
        let read = serde_json::from_slice(value).ok();
        self.unread += usize::from(read.is_none());
        read
    }

    fn spec(&mut self, rec: &KeyedRecord) -> Option<JobSpec> {
        let read = job_spec::decode(rec.value.as_deref()?).ok();
        self.unread += usize::from(read.is_none());
        read
    }

    fn job(&mut self, rec: &KeyedRecord) -> Option<JobRecord> {
        let read = job_state::decode(rec.value.as_deref()?).ok();
        self.unread += usize::from(read.is_none());
        read
    }

    fn items(&mut self, platform: &dyn JobPlatform, records: &[KeyedRecord]) -> Wishes {
        let mut wishes = Wishes::default();
        for rec in records {
            match platform.parse_operator_record(rec) {
                Ok(Some(OperatorRecord::Config(c))) => wishes.cfg = c,
                Ok(Some(OperatorRecord::Wave(w))) => wishes.waves.push(w),
                Ok(Some(OperatorRecord::Evacuation { data_centre, evacuated: true })) => {
                    wishes.evacuated.insert(data_centre);
                }
                Ok(Some(OperatorRecord::Evacuation { evacuated: false, .. })) => {}
                Ok(None) => {}
                Err(_) => self.unread += 1,
            }
        }
        wishes.waves.sort_by_key(|w| w.number);
        wishes
    }
}

/// Makes the status of what was read.
pub fn aggregate_status(platform: &dyn JobPlatform, seen: &StatusInputs) -> JobsStatus {
    let mut reader = Reader { unread: 0 };
    let holder = seen.lease.as_ref().and_then(|rec| reader.read::<HolderStatus>(rec));
    let Wishes { cfg, waves, evacuated } = reader.items(platform, &seen.operators);
    let mut jobs: BTreeMap<JobKey, JobRecord> = BTreeMap::new();
    let mut progress: BTreeMap<u64, WaveRecord> = BTreeMap::new();
    for rec in &seen.state {
        if let Some(key) = parse_job_key(&rec.key) {
            jobs.extend(reader.job(rec).map(|j| (key, j)));
        } else if let Some(n) = rec.key.strip_prefix(WAVE).and_then(|n| n.parse().ok()) {
            progress.extend(reader.read(rec).map(|w| (n, w)));
        }
    }
    let handed_in = handed_in(&mut reader, seen);
    let queues = queues(&cfg, seen.read_at, &handed_in, &jobs);
    let workspaces = workspaces(&cfg, &handed_in, &jobs);
    let pools = pools(&mut reader, platform, &cfg, seen);
    let wave = |w: Wave| {
        let told = seen.published.contains(&platform.wave_status_record(w.number, true));
        wave_status(&w, progress.get(&w.number).cloned().unwrap_or_default(), told)
    };
    JobsStatus {
        at: seen.read_at,
        config_version: cfg.version,
        evacuated,
        holder: holder.map(|h| HolderStatus { renewing: seen.renewed && !h.released, ..h }),
        queues,
        workspaces,
        pools,
        hosts_error: seen.hosts.as_ref().err().cloned(),
        waves: waves.into_iter().map(wave).collect(),
        unread: reader.unread,
    }
}

/// Jobs as they were handed in; of several under one number, that which came first.
fn handed_in(reader: &mut Reader, seen: &StatusInputs) -> BTreeMap<JobKey, JobSpec> {
    let mut all: BTreeMap<JobKey, JobSpec> = BTreeMap::new();
    for rec in &seen.inbox {
        let Some(InboxKey { job, what: InboxItem::Job, .. }) = inbox_key(&rec.key) else { continue };
        let Some(spec) = reader.spec(rec) else { continue };
        if all.get(&job).is_none_or(|first| spec.accepted_at < first.accepted_at) {
            all.insert(job, spec);
        }
    }
    all
}

fn workspaces(
    cfg: &SchedConfig,
    handed_in: &BTreeMap<JobKey, JobSpec>,
    jobs: &BTreeMap<JobKey, JobRecord>,
) -> Vec<WorkspaceStatus> {
    let declared = cfg.workspaces.by_owner.values().map(|w| WorkspaceStatus {
        workspace: w.name.clone(),
        weight: w.jobs_per_s,
        limit: w.limit,
        ..WorkspaceStatus::default()
    });
    let mut all: BTreeMap<WorkspaceId, WorkspaceStatus> =
        declared.map(|w| (w.workspace.clone(), w)).collect();
    for (key, spec) in handed_in {
        let Some(w) = spec.workspace.as_ref().and_then(|name| all.get_mut(name)) else { continue };
        w.count(spec, jobs.get(key));
    }
    all.into_values().collect()
}

impl WorkspaceStatus {
    fn count(&mut self, spec: &JobSpec, rec: Option<&JobRecord>) {
        self.open += usize::from(rec.is_none_or(|r| r.outcome.is_none()));
        for (step, tasks) in rec.into_iter().flat_map(|r| &r.rounds).flat_map(|r| spec.steps.iter().zip(r)) {
            let running = tasks.iter().filter(|t| !t.done && !t.runs.is_empty()).count();
            self.tasks_running += running;
            self.at_work.add(&step.resources.times(running as u64));
        }
    }
}

fn queues(
    cfg: &SchedConfig,
    now: UnixMs,
    handed_in: &BTreeMap<JobKey, JobSpec>,
    jobs: &BTreeMap<JobKey, JobRecord>,
) -> Vec<QueueStatus> {
    let empty = |queue: &String, service: &String| QueueStatus {
        queue: queue.clone(),
        service: service.clone(),
        ..QueueStatus::default()
    };
    let mut all: BTreeMap<String, QueueStatus> =
        cfg.queues.values().map(|q| (q.name.clone(), empty(&q.name, &q.service))).collect();
    for (key, spec) in handed_in {
        let q = all.entry(spec.queue.clone()).or_insert_with(|| empty(&spec.queue, &spec.service));
        q.count(spec, jobs.get(key), now);
    }
    // Of jobs that are over, only their state is stored.
    let over = jobs.iter().filter(|(key, _)| !handed_in.contains_key(*key));
    for (rec, over) in over.filter_map(|(_, rec)| Some((rec, rec.over.as_ref()?))) {
        let q = all.entry(over.queue.clone()).or_insert_with(|| empty(&over.queue, &over.service));
        q.count_end(rec.outcome);
    }
    all.into_values().collect()
}

impl QueueStatus {
    fn count_end(&mut self, outcome: Option<Outcome>) {
        match outcome {
            Some(Outcome::Completed) => self.completed += 1,
            Some(Outcome::Failed) => self.failed += 1,
            Some(Outcome::Canceled) => self.canceled += 1,
            None => {}
        }
    }

    fn count(&mut self, spec: &JobSpec, rec: Option<&JobRecord>, now: UnixMs) {
        if rec.is_none_or(|r| r.outcome.is_none() && !r.begun) {
            self.longest_wait_ms = self.longest_wait_ms.max(now.saturating_sub(spec.accepted_at));
        }
        let Some(rec) = rec else {
            self.not_taken_in += 1;
            return;
        };
        self.count_end(rec.outcome);
        if rec.outcome.is_none() {
            let begun = if rec.begun { &mut self.running } else { &mut self.queued };
            *begun += 1;
            let tasks = || rec.rounds.iter().flatten().flatten();
            self.tasks_running += tasks().filter(|t| !t.done && !t.runs.is_empty()).count();
            self.tasks_open += tasks().filter(|t| !t.done).count();
        }
    }
}

fn pools(
    reader: &mut Reader,
    platform: &dyn JobPlatform,
    cfg: &SchedConfig,
    seen: &StatusInputs,
) -> Vec<PoolStatus> {
    let mut all: BTreeMap<String, PoolStatus> = BTreeMap::new();
    for s in cfg.services.values() {
        all.entry(s.name.clone()).or_default().spare = s.spare;
    }
    for m in seen.hosts.iter().flatten() {
        all.entry(m.pool.clone()).or_default().count(m);
    }
    for rec in &seen.workers {
        let Ok(w) = platform.parse_worker_info(rec) else {
            reader.unread += 1;
            continue;
        };
        let p = all.entry(w.service).or_default();
        p.workers += 1;
        p.draining += usize::from(w.draining);
    }
    all.into_iter().map(|(pool, p)| PoolStatus { pool, ..p }).collect()
}

impl PoolStatus {
    fn count(&mut self, m: &Host) {
        match m.state {
            HostState::Up => self.up += 1,
            HostState::Moving => self.moving += 1,
            HostState::Upkeep => self.upkeep += 1,
            HostState::Down => self.down += 1,
        }
    }
}

fn wave_status(w: &Wave, rec: WaveRecord, complete: bool) -> WaveStatus {
    let finished = |m: &&HostId| rec.finished.contains(*m);
    let down = rec.ordered.keys().filter(|m| !rec.finished.contains(*m));
    let waiting = w.hosts.iter().filter(|m| !rec.ordered.contains_key(*m) && !finished(m));
    WaveStatus {
        wave: w.number,
        hosts: w.hosts.len(),
        most_at_once: w.max_down,
        within_ms: w.time_allowed.as_millis() as u64,
        waiting: waiting.cloned().collect(),
        down: down.cloned().collect(),
        finished: w.hosts.iter().filter(finished).count(),
        complete,
    }
}
