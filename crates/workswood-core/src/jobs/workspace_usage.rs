//! Resources that each workspace uses, over all services, and the check against its limits.
//!
//! A run counts from the decision to start it until it is known to be over. So the usage includes
//! runs that are being stopped, starts that are not answered yet, starts of an earlier lease
//! holder, and whatever an unreachable worker may still run.

use super::spec::Resources;
use super::stable_map::StableMap;
use super::workspace::Owner;

/// Resources that a run reserves on its worker, and that are charged to its workspace.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Reservation {
    /// Resources reserved on the worker.
    pub resources: Resources,
    /// Resources charged to the workspace. Best-effort tasks are charged in full.
    pub charged: Resources,
    /// The owner of the job.
    pub owner: Owner,
}

impl From<Resources> for Reservation {
    /// Reserves resources for a run of [`Owner::PUBLIC`].
    fn from(resources: Resources) -> Reservation {
        Reservation { resources, charged: resources, owner: Owner::PUBLIC }
    }
}

/// A change of the reservations on a worker.
#[derive(Clone, Copy, Debug)]
pub enum UsageChange {
    /// A run may exist from now on.
    Reserved(Reservation),
    /// A run is over.
    Released(Reservation),
}

/// Resources in use by each owner with a workspace; jobs of [`Owner::PUBLIC`] are not counted.
#[derive(Clone, Debug, Default)]
pub struct WorkspaceUsage(StableMap<Owner, Resources>);

impl WorkspaceUsage {
    /// Applies a change.
    pub fn apply(&mut self, change: UsageChange) {
        match change {
            UsageChange::Reserved(reservation) if !reservation.owner.is_public() => {
                self.0.entry(reservation.owner).or_default().add(&reservation.charged);
            }
            UsageChange::Released(reservation) => {
                let Some(in_use) = self.0.get_mut(&reservation.owner) else { return };
                *in_use = in_use.saturating_sub(&reservation.charged);
            }
            UsageChange::Reserved(_) => {}
        }
    }

    /// Resources in use by an owner; zero for [`Owner::PUBLIC`].
    pub fn in_use(&self, owner: Owner) -> Resources {
        self.0.get(&owner).copied().unwrap_or_default()
    }

    /// Resources in use by each owner with a workspace, in no particular order.
    pub fn iter(&self) -> impl Iterator<Item = (Owner, Resources)> {
        self.0.iter().map(|(owner, resources)| (*owner, *resources))
    }
}

/// Whether an owner that uses `in_use` may start one more task under its limit.
///
/// An owner that uses less than half of its limit may start a task of any size; otherwise a task
/// larger than the limit could never start.
pub fn limit_admits(in_use: &Resources, limit: &Resources, task: &Resources) -> bool {
    let admits =
        |used: u64, limit: u64, requested: u64| limit == 0 || used + requested <= limit || used * 2 < limit;
    admits(in_use.cpu_millis, limit.cpu_millis, task.cpu_millis)
        && admits(in_use.mem_mb, limit.mem_mb, task.mem_mb)
        && admits(in_use.gpus, limit.gpus, task.gpus)
}

/// The highest fraction of its limit that an owner uses of any kind of resource; 0 without a limit.
pub fn limit_utilization(in_use: &Resources, limit: &Resources) -> f64 {
    let fraction = |used: u64, limit: u64| if limit == 0 { 0.0 } else { used as f64 / limit as f64 };
    let cpu = fraction(in_use.cpu_millis, limit.cpu_millis);
    cpu.max(fraction(in_use.mem_mb, limit.mem_mb)).max(fraction(in_use.gpus, limit.gpus))
}
