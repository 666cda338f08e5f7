//! Jobs of many steps: what is queued, what runs where, and the state of the workers.
//!
//! One process at a time holds the scheduler lease and owns a [`Scheduler`]. The scheduler is a
//! state machine: [`Event`]s go in, and changed records and [`Action`]s come out as a [`Batch`].
//! The process first writes the records of a batch to the platform's store, and carries out the
//! actions only after the store has acknowledged them. This order guarantees that
//!
//! * a start is on record before a worker can receive it, so a successor knows every place where a
//!   task may run;
//! * the end of a run is on record before the worker is told to forget it;
//! * callers are shown a state only once it is on record.
//!
//! A worker that restarts keeps its name, but starts a new *incarnation*; most state is kept per
//! incarnation.
//!
//! Modules:
//!
//! * [`spec`] defines what callers submit, and its checks.
//! * [`config`] holds the queues and services in force, [`workspace`] the workspaces whose calls
//!   are accepted.
//! * [`workspace_usage`] holds the resources that each workspace uses, and [`fair_share`] who
//!   submits more than its share.
//! * [`job_key`] identifies jobs; `job_lookup` finds those that are named otherwise.
//! * [`job`] holds the state of one job and its stored form, [`job_table`] all jobs; `job_end` ends jobs.
//! * [`worker`] holds the state of one worker, its capacity and its lease; [`worker_id`] is its
//!   name, and [`worker_table`] holds all workers.
//! * [`host`] defines hosts and replies to orders.
//! * [`stable_map`] is a map with the same iteration order in every run.
//! * [`queue_order`] decides which waiting task is next, and [`task_queue`] holds the waiting tasks.
//! * [`step_demand`] is what a step asks of a worker; `feasibility` sets steps aside that no worker could ever take.
//! * `start_orders` withdraws starts that are not wanted any more before they are sent.
//! * [`relays`] decides which entry polls which workers, and [`run_tracker`] finds what is new in a
//!   worker's answers.
//! * `worker_restart` handles workers that restart under the same name, and [`incarnation_check`] keeps
//!   late starts from reaching the next incarnation.
//! * `notes` collects log lines about decisions.
//! * [`types`] defines events, actions, records and batches.
//! * [`scheduler`] handles events; [`worker_reports`], [`worker_events`], [`placement`], [`pacing`] and [`eviction`] make
//!   its decisions about tasks.
//! * [`crash_attribution`] finds tasks that crash their workers more often than the usual
//!   [`crash_rate`], from the crashes on record ([`crash_history`]); [`crash_trials`] tests suspected ones, and
//!   [`crash_log`] logs what is counted and taken back.
//! * [`crash_certainty`] tells whether a worker is known to have crashed under a run, and `crash_withdrawal` takes back the
//!   crashes of a life that answers after all.
//! * `sibling_times` tells what the tasks of a step took, and `slow_workers` keeps new work away from
//!   workers whose runs take much longer.
//! * [`absent_tasks`] follows long-running tasks that run nowhere, and [`absence_reason`] tells why; [`restart_deadline`]
//!   decides what gives way so that they are at work again in time.
//! * `over_runs` remembers for the log how runs are known to be over, and [`listing_log`] which listing told it.
//! * `second_runs` starts late tasks a second time where their step allows copies.
//! * [`advice`] asks the adviser in advance which workers may run a step: `advice_candidates` finds
//!   the steps and workers, [`advice_batch`] chooses those of one call.
//! * [`maintenance_waves`] decides which host is maintained next: `wave_plan` how far the wave should be, and
//!   `drain_order` which hosts go first. [`maintenance_orders`] orders them down.
//! * [`lease_claim`] decides which process runs the scheduler; [`lease_handover`] how a holder that the store
//!   refuses, or that is told to stop, keeps it running.
//! * [`bridges`] decides through which entry those of a data centre that is cut off are reached.
//! * [`admission`] decides which submitted jobs are refused, from the loads that `admission_load`
//!   computes.
//! * `evacuation` keeps work away from data centres that are being evacuated.
//! * [`order_marks`] keeps a new lease holder from ordering hosts that were just ordered.
//! * [`outage`] decides what may precede its record while the store is away, and `takeover_barrier` which
//!   tasks a new lease holder holds back because its predecessor may have started them so; [`owed_batch`] merges the batches that wait.
//! * `namesakes` holds jobs that wait until no job of another owner is at work under their number.
//! * `inherited_state` takes over what predecessors recorded; [`restored_jobs`] tells which state is whose.
//! * `lease_bounds` records when the leases of workers end that don't answer, for the next lease holder.
//! * [`policy`] holds the parameters of the decisions.
//! * [`pool_need`] computes how many hosts each pool needs, from the [`demand_history`];
//!   [`pool_planning`] decides which host moves to another pool, with the counts of `pool_count`,
//!   and [`pool_moves`] carries it out. `absent_room` gets hosts for long-running tasks that no worker takes.

pub mod absence_reason;
mod absent_room;
pub mod absent_tasks;
pub mod admission;
mod admission_load;
pub mod advice;
pub mod advice_batch;
mod advice_candidates;
pub mod bridges;
pub mod config;
pub mod crash_attribution;
pub mod crash_certainty;
pub mod crash_history;
pub mod crash_log;
pub mod crash_rate;
pub mod crash_trials;
mod crash_verdict;
mod crash_withdrawal;
mod cut_off_workers;
pub mod demand_history;
mod drain_order;
mod drain_stalls;
pub mod ended_incarnations;
mod evacuation;
pub mod eviction;
pub mod failed_runs;
pub mod fair_share;
mod feasibility;
pub mod host;
pub mod incarnation_check;
mod inherited_state;
pub mod job;
mod job_end;
pub mod job_key;
mod job_lookup;
pub mod job_table;
pub mod lease_bounds;
pub mod lease_claim;
pub mod lease_handover;
pub mod listing_log;
pub mod log_lines;
pub mod maintenance_orders;
pub mod maintenance_waves;
mod namesakes;

pub mod order_marks;
pub mod outage;
mod over_runs;
pub mod owed_batch;
pub mod pacing;
pub mod placement;
mod placement_pass;
pub mod policy;
mod pool_count;
pub mod pool_moves;
pub mod pool_need;
pub mod pool_planning;
pub mod queue_order;
pub mod relays;
pub mod restart_deadline;
pub mod restored_jobs;
pub mod run_tracker;
pub mod scheduler;
mod second_runs;
mod sibling_times;
mod slow_workers;
pub mod spec;
pub mod stable_map;
mod start_orders;
pub mod step_demand;
mod takeover_barrier;
pub mod task_queue;
pub mod types;
mod wave_plan;
pub mod worker;
pub mod worker_events;
pub mod worker_id;
pub mod worker_reports;
mod worker_restart;
pub mod worker_table;
pub mod workspace;
pub mod workspace_usage;

pub use absence_reason::WaitReason;
pub use absent_tasks::EndedAbsence;
pub use admission::{Admission, AdmissionPolicy, Candidate, Verdict};
pub use advice::AdvicePolicy;
pub use config::{AdviceConfig, QueueConfig, SchedConfig, ServiceConfig};
pub use ended_incarnations::EndedIncarnationRecord;
pub use host::{Host, HostReply, HostState};
pub use job::{FinishedJobRecord, Job, JobRecord, JobStatus, Outcome, Phase, Run, Task};
pub use job_key::{JobKey, JobNumber, JobOwner, QueueTag};
pub use maintenance_waves::{Wave, WaveRecord};
pub use outage::{OutagePolicy, StoreAccess};
pub use policy::Policy;
pub use relays::{RelayCandidate, RelayPolicy};
pub use run_tracker::RunTracker;
pub use scheduler::Scheduler;
pub use second_runs::SecondRunPolicy;
pub use slow_workers::SlowWorkerPolicy;
pub use spec::{JobSpec, Repeat, StepId, StepSpec, TaskId};
pub use types::{
    Action, Advice, AdviceReply, AdviceResult, Batch, Event, JobStatusUpdate, Limits, Record, StartReply,
    StopReply, WorkerUpdate,
};
pub use worker::{
    AdviceVerdict, EndCoverage, EndKind, Listing, ListingTimes, Report, ReportedEnd, ReportedRun, Worker,
    WorkerAddress, WorkerClock, WorkerInfo, WorkerRecord,
};
pub use workspace::{Owner, Workspace, Workspaces};
