//! Instances of services, and the availability budgets of services.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{ManagedHost, RecordResult, Rejection, State};
use crate::fleet::{Budget, Service};
use crate::ids::{HostId, InstanceId, Rack, ServiceId, Term};
use crate::record::{InstanceChange, Role};

/// An instance that is placed on a host.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlacedInstance {
    /// The service.
    pub service: ServiceId,
    /// The host it is placed on.
    pub host: HostId,
    /// IP address and port; empty until known.
    pub address: String,
    /// Whether it takes work.
    pub ready: bool,
    /// Offset of its placement; fencing token of its start on the platform.
    pub token: u64,
}

/// How many instances of a service are available.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Availability {
    /// Instances that take work.
    pub available: u32,
    /// Available instances by rack.
    pub by_rack: BTreeMap<Rack, u32>,
    /// Unavailable instances on hosts that are draining, drained or rebooting, by
    /// data centre.
    #[serde(rename = "away_by_data_centre")]
    pub out_of_service_by_data_centre: BTreeMap<String, u32>,
}

/// The budget of a service and its current availability.
#[derive(Clone, Debug, Serialize)]
pub struct BudgetStatus {
    /// The service.
    pub service: ServiceId,
    /// Instances that take work.
    pub available: u32,
    /// Minimum of available instances by the budget.
    pub min_available: u32,
    /// How many more instances may become unavailable now; negative if the budget is
    /// broken.
    pub slack: i64,
}

impl Availability {
    /// How many more instances may become unavailable before the budget is broken,
    /// not counting its limit per data centre. Negative if it is broken.
    pub fn slack(&self, budget: &Budget) -> i64 {
        let largest_rack =
            if budget.reserve_rack { self.by_rack.values().max().copied().unwrap_or(0) } else { 0 };
        i64::from(self.available) - i64::from(budget.min_available) - i64::from(largest_rack)
    }

    /// Counts an instance; it is ignored if its host is not known.
    pub fn add(&mut self, instance: &PlacedInstance, host: Option<&ManagedHost>) {
        let Some(host) = host else { return };
        if instance.ready && host.takes_work() {
            self.available += 1;
            *self.by_rack.entry(host.location.rack.clone()).or_default() += 1;
        } else if host.out_of_service() {
            *self.out_of_service_by_data_centre.entry(host.location.data_centre.clone()).or_default() += 1;
        }
    }

    /// The availability after one available instance on `host` stops taking work;
    /// `None` if the budget forbids that.
    pub fn without_one_on(&self, budget: &Budget, host: &ManagedHost) -> Option<Availability> {
        let mut after = self.clone();
        after.available = after.available.checked_sub(1)?;
        if let Some(n) = after.by_rack.get_mut(&host.location.rack) {
            *n = n.saturating_sub(1);
        }
        let out_of_service =
            after.out_of_service_by_data_centre.entry(host.location.data_centre.clone()).or_default();
        *out_of_service += 1;
        let within_data_centre =
            budget.max_unavailable_per_data_centre.is_none_or(|max| *out_of_service <= max);
        (within_data_centre && after.slack(budget) >= 0).then_some(after)
    }
}

impl State {
    /// Availability of every service with placed instances.
    pub fn availability(&self) -> BTreeMap<ServiceId, Availability> {
        let mut all: BTreeMap<ServiceId, Availability> = BTreeMap::new();
        for i in self.instances.values() {
            all.entry(i.service.clone()).or_default().add(i, self.hosts.get(&i.host));
        }
        all
    }

    /// Availability of one service.
    pub fn availability_of(&self, service: &str) -> Availability {
        let mut a = Availability::default();
        for (_, i) in self.instances_of(service) {
            a.add(i, self.hosts.get(&i.host));
        }
        a
    }

    /// The budget and availability of each service in force.
    pub fn budget_statuses(&self) -> Vec<BudgetStatus> {
        let all = self.availability();
        let empty = Availability::default();
        self.services()
            .map(|s| {
                let a = all.get(&s.name).unwrap_or(&empty);
                BudgetStatus {
                    service: s.name.clone(),
                    available: a.available,
                    min_available: s.budget.min_available,
                    slack: a.slack(&s.budget),
                }
            })
            .collect()
    }

    /// The placed instances of a service.
    pub fn instances_of<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a PlacedInstance)> + 'a {
        let prefix = format!("{service}/");
        self.instances.range(prefix.clone()..).take_while(move |(id, _)| id.starts_with(&prefix))
    }

    /// Checks that all budgets allow the host to stop taking work.
    pub fn check_drain_budgets(&self, host_id: &str) -> RecordResult {
        let host = self.hosts.get(host_id).ok_or(Rejection::Missing)?;
        // Instances on a host that takes no work are already unavailable.
        if !host.takes_work() {
            return Ok(());
        }
        for s in self.services_ready_on(host_id) {
            let allowed = self.availability_of(&s.name).without_one_on(&s.budget, host).is_some();
            if !allowed {
                return Err(Rejection::Budget(s.name.clone()));
            }
        }
        Ok(())
    }

    /// Services with a ready instance on a host.
    fn services_ready_on(&self, host: &str) -> Vec<&Service> {
        let ids = self.by_host.get(host).into_iter().flatten();
        let ready = ids.filter(|id| self.instances.get(*id).is_some_and(|i| i.ready));
        ready.filter_map(|id| self.service(service_of_instance(id))).collect()
    }

    /// Rebuilds the index of instances by host.
    pub(super) fn rebuild_host_index(&mut self) {
        self.by_host.clear();
        for (id, i) in &self.instances {
            self.by_host.entry(i.host.clone()).or_default().push(id.clone());
        }
    }

    /// Applies a change of an instance.
    pub(super) fn change_instance(
        &mut self,
        term: Term,
        instance: &str,
        change: &InstanceChange,
    ) -> RecordResult {
        self.check_term(Role::Planner, term)?;
        match change {
            InstanceChange::Place { host } => self.place_instance(instance, host),
            InstanceChange::Ready { address, ready } => {
                let placed = self.instances.get_mut(instance).ok_or(Rejection::Missing)?;
                placed.address.clone_from(address);
                placed.ready = *ready;
                Ok(())
            }
            InstanceChange::Remove => self.remove_instance(instance),
        }
    }

    /// Places an instance on a host of its service's pool.
    fn place_instance(&mut self, instance: &str, host: &str) -> RecordResult {
        let service = service_of_instance(instance);
        let s = self.service(service).ok_or(Rejection::Missing)?;
        let h = self.hosts.get(host).ok_or(Rejection::Missing)?;
        let already_placed = self.instances.contains_key(instance);
        let host_occupied = self.instances_of(service).any(|(_, i)| i.host == host);
        if already_placed || host_occupied || !h.takes_work() || h.pool.as_ref() != Some(&s.pool) {
            return Err(Rejection::Phase);
        }
        let placed = PlacedInstance {
            service: service.to_string(),
            host: host.to_string(),
            address: String::new(),
            ready: false,
            token: self.next_offset - 1,
        };
        self.instances.insert(instance.to_string(), placed);
        self.by_host.entry(host.to_string()).or_default().push(instance.to_string());
        Ok(())
    }

    /// Removes an instance from its host, if the budget allows it.
    fn remove_instance(&mut self, instance: &str) -> RecordResult {
        let placed = self.instances.get(instance).ok_or(Rejection::Missing)?;
        let host = self.hosts.get(&placed.host);
        let available = placed.ready && host.is_some_and(|h| h.takes_work());
        if available {
            let s = self.service(&placed.service).ok_or(Rejection::Missing)?;
            let a = self.availability_of(&placed.service);
            let allowed = host.is_some_and(|h| a.without_one_on(&s.budget, h).is_some());
            if !allowed {
                return Err(Rejection::Budget(placed.service.clone()));
            }
        }
        let host = placed.host.clone();
        self.instances.remove(instance);
        if let Some(ids) = self.by_host.get_mut(&host) {
            ids.retain(|id| id != instance);
            if ids.is_empty() {
                self.by_host.remove(&host);
            }
        }
        self.instance_removals += 1;
        Ok(())
    }
}

/// The service of an instance, from its name `service/number`.
pub(super) fn service_of_instance(instance: &str) -> &str {
    instance.rsplit_once('/').map_or(instance, |(s, _)| s)
}
