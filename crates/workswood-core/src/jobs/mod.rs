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
//! * [`accounts`] holds what each workspace has at work, and [`shares`] who sends more than its share.
//! * [`job`] holds the state of one job and its stored form, [`known`] all of them.
//! * [`worker`] holds what is known of one worker, its room and its lease;
//!   [`worker_id`] is its name, and [`workers`] holds all of them.
//! * [`host`] holds what is known of one host.
//! * [`map`] is a map whose order is the same in every run.
//! * [`order`] decides which waiting task is next, and [`waiting`] keeps them.
//! * [`relays`] decides which entry speaks with which workers, and [`follow`] what is new
//!   in what a worker lists.
//! * [`types`] holds the events that go in and the batches that come out.
//! * [`scheduler`] takes events in; [`ends`], [`settle`], [`place`], [`share`] and
//!   [`evict`] are its decisions.
//! * [`crash`] tells which task crashes its workers, against [`crash_rate`], and [`trials`]
//!   tries those that are suspected.
//! * [`advice`] asks ahead which workers may run a step, where only some may:
//!   [`advice_candidates`] says which steps want it, [`advice_batch`] whom to ask about.
//! * [`claim`] decides which process runs the scheduler.
//! * [`maintenance_waves`] decides which host is maintained next, and [`maintenance_orders`] orders it down.
//! * [`order_marks`] keeps a new holder off hosts that were just ordered.
//! * [`policy`] holds what these decisions are tuned by.
//! * [`pool_need`] works out how many hosts each pool needs, and [`pool_planning`]
//!   decides which host changes its pool; [`pool_moves`] brings it there.

pub mod accounts;
pub mod advice;
pub mod advice_batch;
mod advice_candidates;
pub mod claim;
pub mod config;
pub mod crash;
pub mod crash_rate;
pub mod demand_history;
pub mod ends;
mod evacuation;
pub mod evict;
pub mod follow;
pub mod host;
pub mod job;
pub mod known;
mod lives;
pub mod maintenance_orders;
pub mod maintenance_waves;
pub mod map;
mod notes;
pub mod order;
pub mod order_marks;
pub mod place;
pub mod policy;
mod pool_count;
pub mod pool_moves;
pub mod pool_need;
pub mod pool_planning;
pub mod relays;
pub mod scheduler;
pub mod settle;
pub mod share;
pub mod shares;
pub mod spec;
pub mod trials;
pub mod types;
pub mod waiting;
pub mod worker;
pub mod worker_id;
pub mod workers;
pub mod workspace;

pub use advice::AdvicePolicy;
pub use config::{AdviceConfig, QueueConfig, SchedConfig, ServiceConfig};
pub use follow::Follow;
pub use host::{Host, HostReply, HostState};
pub use job::{Job, JobRecord, Outcome, OverRecord, Phase, Run, Shown, Task};
pub use maintenance_waves::{Wave, WaveRecord};
pub use policy::Policy;
pub use relays::{RelayEntry, RelayPolicy};
pub use scheduler::Scheduler;
pub use spec::{JobKey, JobSpec, Repeat, StepId, StepSpec, TaskId};
pub use types::{
    Action, Advice, AdviceReply, AdviceResult, Batch, Event, JobStatusUpdate, Limits, Record, StartReply,
    StopReply, WorkerUpdate,
};
pub use worker::{
    EndKind, Listing, Report, ReportedEnd, ReportedRun, Verdict, Worker, WorkerAddress, WorkerInfo,
    WorkerRecord,
};
pub use workspace::{Owner, Workspace, Workspaces};
