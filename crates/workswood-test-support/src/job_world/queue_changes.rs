//! The configuration of the world, and changes of it while jobs wait: the queue is renamed, its name is given to another
//! queue, or it is taken away.

use std::sync::Arc;

use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{Event, QueueConfig, SchedConfig, Workspace};

use super::{QUEUE, WORKSPACE, WORKSPACE_TASK_LIMIT, World, config, second_owner};

/// What has become of the queue of the world.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum QueueChange {
    /// It is there under its own name.
    #[default]
    None,
    /// It has another name.
    Renamed,
    /// It is gone, and its name is that of another queue without an adviser.
    NameReused,
    /// It is gone.
    TakenAway,
}

impl QueueChange {
    /// All that may become of it.
    pub const ALL: [QueueChange; 4] =
        [QueueChange::None, QueueChange::Renamed, QueueChange::NameReused, QueueChange::TakenAway];

    fn apply(self, cfg: &mut SchedConfig) {
        let Some(queue) = cfg.queues.remove(QUEUE) else { return };
        let changed = match self {
            QueueChange::None => queue,
            QueueChange::Renamed => QueueConfig { name: "renamed".to_string(), ..queue },
            QueueChange::NameReused => {
                QueueConfig { path_prefix: "/other/".to_string(), advice: None, ..queue }
            }
            QueueChange::TakenAway => return,
        };
        cfg.queues.insert(changed.name.clone(), changed);
    }
}

/// The changes of the queue so far.
#[derive(Debug, Default)]
pub(super) struct QueueChanges {
    /// Whether the queue changes at all, so that jobs tell its address.
    pub(super) enabled: bool,
    now: QueueChange,
    count: u64,
}

impl World {
    /// Has jobs tell the address of their queue, which [`World::change_queue`] may change.
    #[must_use]
    pub fn with_queue_changes(mut self) -> World {
        self.queue_changes.enabled = true;
        self
    }

    /// Changes the queue, which all holders learn at once.
    pub fn change_queue(&mut self, change: QueueChange) {
        self.queue_changes.now = change;
        self.queue_changes.count += 1;
        let (now, cfg) = (self.now, Arc::new(self.config()));
        self.holders.iter_mut().for_each(|h| h.enqueue_event(now, Event::ConfigChanged(cfg.clone())));
    }

    /// The configuration in force.
    pub(super) fn config(&self) -> SchedConfig {
        let mut cfg = config();
        cfg.version += self.queue_changes.count;
        if self.advised {
            cfg.queues.values_mut().for_each(|q| q.advice = Some(self.advice));
        }
        if self.limited {
            let room = Resources { cpu_millis: 1000 * WORKSPACE_TASK_LIMIT as u64, ..Resources::default() };
            let workspace = Workspace { name: WORKSPACE.to_string(), jobs_per_s: 1.0, limit: room };
            cfg.workspaces.add(workspace, []);
        }
        if self.two_services {
            second_owner::add_queues(&mut cfg);
        }
        self.queue_changes.now.apply(&mut cfg);
        cfg
    }
}
