//! Starts between their decision and their sending.
//!
//! A start is decided long before it is sent: its record has to be stored, it goes to a relay, and
//! there it waits until fewer other orders are under way to the worker. It may be unwanted by then,
//! since its job was cancelled, its task is done by another run, or its worker has begun to drain.
//!
//! * A start that the lease holder has not handed to the relay yet is dropped when its turn comes.
//! * A start that the relay has is dropped there, unless it is under way. The relay reports it as
//!   not sent.
//! * A start that is under way has an outcome, after which its run goes on or is stopped.

use super::job::{Phase, Run, StartOrder, WorkerId};
use super::scheduler::Scheduler;
use super::spec::TaskId;
use super::types::Action;

impl Run {
    /// Withdraws the start of the run, if it has not been handed to the relay. Returns whether the
    /// relay has it.
    fn withdraw_start(&mut self) -> bool {
        if self.start_order == StartOrder::Decided {
            self.start_order = StartOrder::Withdrawn;
        }
        self.start_order == StartOrder::HandedOn
    }

    /// Withdraws the start of the run because the run is not wanted any more. Returns whether the relay
    /// has to be told.
    pub(super) fn recall_start(&mut self) -> bool {
        let with_relay = self.withdraw_start();
        if with_relay {
            self.start_order = StartOrder::Recalled;
        }
        with_relay
    }
}

impl Scheduler {
    /// Returns whether a start that is about to be handed to its relay is still wanted. If it is not,
    /// the start must not be sent; its run is settled.
    pub fn hand_on_start(&mut self, id: &WorkerId, task: &TaskId, attempt: u32) -> bool {
        let Some(run) = self.run_mut(id, task, attempt) else { return false };
        match (run.phase, run.start_order) {
            // An earlier order of the same start may still be carried out.
            (Phase::Starting, StartOrder::Withdrawn) if run.unanswered_starts > 0 => {
                self.stop_run(id, task, attempt);
                false
            }
            (Phase::Starting, StartOrder::Withdrawn) => {
                self.settle_run(id, task, attempt, "start_withdrawn");
                false
            }
            (Phase::Starting, _) => {
                run.start_order = StartOrder::HandedOn;
                true
            }
            // The worker has listed the run, or has another relay since the decision, whose full report settles
            // the run.
            (Phase::Inherited | Phase::Running | Phase::Unanswered | Phase::Stopping | Phase::Stopped, _) => {
                false
            }
        }
    }

    /// Withdraws the starts on a worker that have not been sent. Those that are under way go on.
    pub(super) fn withdraw_starts_on(&mut self, id: &WorkerId) {
        let mut runs = self.runs_on(id);
        runs.sort_unstable();
        for (task, attempt) in runs {
            let Some(run) = self.run_mut(id, &task, attempt) else { continue };
            if run.phase == Phase::Starting && run.withdraw_start() {
                self.actions.push(Action::WithdrawStart(id.clone(), task, attempt));
            }
        }
    }
}
