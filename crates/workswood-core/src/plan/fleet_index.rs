//! Lookup tables over the state, built once for each round of planning.

use std::collections::BTreeMap;

use crate::fleet::Service;
use crate::fold::{Availability, ManagedHost, PlacedInstance, State};
use crate::ids::{HostId, InstanceId, ServiceId};

/// Services, pools and availability by name. Each host or instance that the round withdraws
/// reduces the availability at once, so that the round as a whole keeps every budget.
#[derive(Debug)]
pub struct FleetIndex<'a> {
    /// The state that the index was built from.
    pub state: &'a State,
    /// Services by name.
    pub services: BTreeMap<&'a str, &'a Service>,
    /// Availability by service, without the hosts and instances withdrawn in this round.
    pub availability: BTreeMap<ServiceId, Availability>,
    /// Hosts by pool; hosts without a pool are left out.
    pub pools: BTreeMap<&'a str, Vec<(&'a HostId, &'a ManagedHost)>>,
}

impl<'a> FleetIndex<'a> {
    /// Builds the index of a state.
    pub fn new(state: &'a State) -> FleetIndex<'a> {
        let services = state.services().map(|s| (s.name.as_str(), s)).collect();
        let mut pools: BTreeMap<&str, Vec<(&HostId, &ManagedHost)>> = BTreeMap::new();
        for (id, h) in &state.hosts {
            if let Some(p) = &h.pool {
                pools.entry(p).or_default().push((id, h));
            }
        }
        FleetIndex { state, services, availability: state.availability(), pools }
    }

    /// The hosts of a pool.
    pub fn pool_hosts(&self, pool: &str) -> &[(&'a HostId, &'a ManagedHost)] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// The instances on a host.
    fn instances_on(&self, host: &HostId) -> impl Iterator<Item = (&'a InstanceId, &'a PlacedInstance)> {
        let state = self.state;
        let ids = state.by_host.get(host).into_iter().flatten();
        ids.filter_map(|id| state.instances.get_key_value(id))
    }

    /// Service names of the instances on a host.
    pub fn services_on(&self, host: &HostId) -> Vec<&'a str> {
        self.instances_on(host).map(|(_, i)| i.service.as_str()).collect()
    }

    /// Withdraws a host if the budgets of all its services allow it; returns whether they do.
    pub fn withdraw_host(&mut self, host: &HostId) -> bool {
        let Some(reduced) = self.availability_without(host) else { return false };
        for (service, a) in reduced {
            self.availability.insert(service.to_string(), a);
        }
        true
    }

    /// Withdraws an instance of a service if the budget allows it; returns whether it does.
    /// An instance on a host that takes no work is not available anyway.
    pub fn withdraw_instance(&mut self, service: &str, host: &HostId) -> bool {
        let Some(rec) = self.state.hosts.get(host) else { return false };
        if !rec.takes_work() {
            return true;
        }
        let budget = self.services.get(service).map(|s| &s.budget);
        let current = self.availability.get(service);
        let Some(reduced) = budget.zip(current).and_then(|(b, a)| a.without_one_on(b, rec)) else {
            return false;
        };
        self.availability.insert(service.to_string(), reduced);
        true
    }

    /// Availability of a host's services without the host; `None` if a budget forbids it.
    fn availability_without(&self, host: &HostId) -> Option<Vec<(&'a str, Availability)>> {
        let rec = self.state.hosts.get(host)?;
        let mut reduced = Vec::new();
        if !rec.takes_work() {
            return Some(reduced);
        }
        for (_, i) in self.instances_on(host).filter(|(_, i)| i.ready) {
            let s = self.services.get(i.service.as_str())?;
            let a = self.availability.get(&i.service)?;
            reduced.push((i.service.as_str(), a.without_one_on(&s.budget, rec)?));
        }
        Some(reduced)
    }

    /// Cost of withdrawing a host: the less slack the budgets of its services have, the higher.
    pub fn withdrawal_cost(&self, host: &HostId) -> f64 {
        let slack = |s: &&str| {
            let budget = &self.services.get(s)?.budget;
            Some(self.availability.get(*s)?.slack(budget).max(0) as f64)
        };
        self.services_on(host).iter().filter_map(slack).map(|s| 1.0 / (s + 0.1)).sum()
    }
}
