//! Jobs of many steps: what is queued, what runs where, and what is known of
//! the workers that run it.
//!
//! One process at a time holds the scheduler lease and owns a [`Scheduler`].
//! The scheduler is a state machine: [`Event`]s go in, changed records and
//! [`Action`]s come out as a [`Batch`]. The process writes the records of a
//! batch to the platform's store first and carries the actions out only after
//! the store has acknowledged them. What follows from that order:
//!
//! * a start is on record before a worker can hear of it, so that a successor
//!   knows every place where a task may run;
//! * an end is on record before the worker is told to forget it;
//! * callers are shown a state only when it is on record.
//!
//! How the pieces meet:
//!
//! * [`spec`] holds what callers ask for, and its checks.
//! * [`config`] holds queues and services in force, [`workspace`] whose calls are taken.
//! * [`workspace_usage`] holds what each workspace has at work, and [`fair_share`] who sends more than its share.
//! * [`job`] holds the state of one job and its stored form, [`known`] all of them.
//! * [`worker`] holds what is known of one worker, its room and its lease;
//!   [`worker_id`] is its name, and [`workers`] holds all of them.
//! * [`host`] holds what is known of one host.
//! * [`stable_map`] is a map whose order is the same in every run.
//! * [`queue_order`] decides which waiting task is next, and [`task_queue`] keeps them.
//! * [`relays`] decides which entry speaks with which workers, and [`follow`] what is new
//!   in what a worker lists.
//! * [`types`] holds the events that go in and the batches that come out.
//! * [`sched`] takes events in; [`worker_reports`], [`worker_events`], [`place`], [`pacing`] and
//!   [`evict`] are its decisions.
//! * [`crash`] tells which task crashes its workers, against [`crash_rate`], and [`trials`]
//!   tries those that are suspected.
//! * [`advice`] asks ahead which workers may run a step, where only some may:
//!   `advice_need` says which steps want it, [`advice_batch`] whom to ask about.
//! * [`lease_claim`] decides which process runs the scheduler.
//! * [`wave`] decides which host is maintained next, and [`upkeep`] orders it down.
//! * [`handover`] keeps a new holder off hosts that were just ordered.
//! * [`policy`] holds what these decisions are tuned by.
//! * [`need`] works out how many hosts each pool needs, and [`pools`]
//!   decides which host changes its pool; [`moves`] brings it there.

pub mod advice;
pub mod advice_batch;
mod advice_need;
pub mod config;
pub mod crash;
pub mod crash_rate;
pub mod demand;
mod evacuation;
pub mod evict;
pub mod fair_share;
pub mod follow;
pub mod handover;
pub mod host;
pub mod job;
pub mod known;
pub mod lease_claim;
mod lives;
mod log_lines;
pub mod moves;
pub mod need;
pub mod pacing;
pub mod place;
pub mod policy;
mod pool_count;
pub mod pools;
pub mod queue_order;
pub mod relays;
pub mod sched;
pub mod spec;
pub mod stable_map;
pub mod task_queue;
pub mod trials;
pub mod types;
pub mod upkeep;
pub mod wave;
pub mod worker;
pub mod worker_events;
pub mod worker_id;
pub mod worker_reports;
pub mod workers;
pub mod workspace;
pub mod workspace_usage;

pub use advice::AdvicePolicy;
pub use config::{AdviceConfig, QueueConfig, SchedConfig, ServiceConfig};
pub use follow::Follow;
pub use host::{Host, HostReply, HostState};
pub use job::{FinishedJobRecord, Job, JobRecord, JobStatus, Outcome, Phase, Run, Task};
pub use policy::Policy;
pub use relays::{RelayEntry, RelayPolicy};
pub use sched::Scheduler;
pub use spec::{JobKey, JobSpec, Repeat, StepId, StepSpec, TaskId};
pub use types::{
    Action, Advice, AdviceReply, Advised, Batch, Event, Limits, News, Record, ShownJob, StartReply, StopReply,
};
pub use wave::{Wave, WaveRecord};
pub use worker::{
    EndKind, Listing, Report, ReportedEnd, ReportedRun, Verdict, Worker, WorkerAddress, WorkerInfo,
    WorkerRecord,
};
pub use workspace::{Owner, Workspace, Workspaces};
