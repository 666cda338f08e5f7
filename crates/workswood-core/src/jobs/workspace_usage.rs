//! What each workspace has at work, over all services, against what it may.
//!
//! An account is told of each run that may exist on some worker, from when its start is decided
//! until it is known to be over. So it counts what runs, what is being stopped, what was ordered
//! and not answered, what an earlier lease holder ordered, and what a worker may run
//! that is cut off.

use super::spec::Resources;
use super::stable_map::StableMap;
use super::workspace::Owner;

/// Room that a run takes of its worker, and that is charged to its workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reservation {
    /// Room that it takes of its worker's.
    pub resources: Resources,
    /// Room that it is charged for: that of tasks which live on what others leave unused
    /// counts in full.
    pub charged: Resources,
    /// Whose it is.
    pub owner: Owner,
}

impl From<Resources> for Reservation {
    /// A run of nobody's.
    fn from(room: Resources) -> Reservation {
        Reservation { resources: room, charged: room, owner: Owner::PUBLIC }
    }
}

/// A run that began to exist, or is over.
#[derive(Clone, Copy, Debug)]
pub enum UsageChange {
    /// It may exist from now on.
    Reserved(Reservation),
    /// It is over.
    Released(Reservation),
}

/// What each owner has at work.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceUsage(StableMap<Owner, Resources>);

impl WorkspaceUsage {
    /// Takes a change in.
    pub fn apply(&mut self, change: UsageChange) {
        match change {
            UsageChange::Reserved(held) if !held.owner.is_public() => {
                self.0.entry(held.owner).or_default().add(&held.charged);
            }
            UsageChange::Released(held) => {
                let Some(at_work) = self.0.get_mut(&held.owner) else { return };
                *at_work = at_work.minus(&held.charged);
            }
            UsageChange::Reserved(_) => {}
        }
    }

    /// What an owner has at work.
    pub fn in_use(&self, owner: Owner) -> Resources {
        self.0.get(&owner).copied().unwrap_or_default()
    }

    /// What each owner has at work, in no order.
    pub fn iter(&self) -> impl Iterator<Item = (Owner, Resources)> {
        self.0.iter().map(|(owner, room)| (*owner, *room))
    }
}

/// Whether one more task may begin of an owner that has so much at work.
///
/// One that is under half of its limit is not kept from it by the size of a task: a task
/// larger than the limit would never begin.
pub fn within_limit(at_work: &Resources, limit: &Resources, task: &Resources) -> bool {
    let within = |used: u64, most: u64, more: u64| most == 0 || used + more <= most || used * 2 < most;
    within(at_work.cpu_millis, limit.cpu_millis, task.cpu_millis)
        && within(at_work.mem_mb, limit.mem_mb, task.mem_mb)
        && within(at_work.gpus, limit.gpus, task.gpus)
}

/// The largest share of its limit that an owner uses of any kind of room; 0 without a limit.
pub fn limit_utilization(at_work: &Resources, limit: &Resources) -> f64 {
    let share = |used: u64, most: u64| if most == 0 { 0.0 } else { used as f64 / most as f64 };
    let cpu = share(at_work.cpu_millis, limit.cpu_millis);
    cpu.max(share(at_work.mem_mb, limit.mem_mb)).max(share(at_work.gpus, limit.gpus))
}
