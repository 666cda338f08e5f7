//! Sums over the state that one round of planning needs, made once.

use std::collections::BTreeMap;

use crate::fleet::Service;
use crate::fold::{Availability, ManagedHost, PlacedInstance, State};
use crate::ids::{HostId, InstanceId, ServiceId};

/// Availability and services by name, kept up to date by the round itself.
#[derive(Debug)]
pub struct Index<'a> {
    /// The state it was made of.
    pub state: &'a State,
    /// Services by name.
    pub services: BTreeMap<&'a str, &'a Service>,
    /// Availability by service, less what this round takes away.
    pub availability: BTreeMap<ServiceId, Availability>,
    /// Hosts of each pool; those in none are not in it.
    pub pools: BTreeMap<&'a str, Vec<(&'a HostId, &'a ManagedHost)>>,
}

impl<'a> Index<'a> {
    /// Sums the state up.
    pub fn new(state: &'a State) -> Index<'a> {
        let services = state.services().map(|s| (s.name.as_str(), s)).collect();
        let mut pools: BTreeMap<&str, Vec<(&HostId, &ManagedHost)>> = BTreeMap::new();
        for (id, h) in &state.hosts {
            if let Some(p) = &h.pool {
                pools.entry(p).or_default().push((id, h));
            }
        }
        Index { state, services, availability: state.availability(), pools }
    }

    /// Hosts of a pool.
    pub fn pool(&self, pool: &str) -> &[(&'a HostId, &'a ManagedHost)] {
        self.pools.get(pool).map_or(&[], Vec::as_slice)
    }

    /// Instances on a host.
    fn on_host(&self, host: &HostId) -> impl Iterator<Item = (&'a InstanceId, &'a PlacedInstance)> {
        let state = self.state;
        let on = state.by_host.get(host).into_iter().flatten();
        on.filter_map(|id| state.instances.get_key_value(id))
    }

    /// Names of the services with instances on a host.
    pub fn services_on(&self, host: &HostId) -> Vec<&'a str> {
        self.on_host(host).map(|(_, i)| i.service.as_str()).collect()
    }

    /// Takes a host away if every budget allows it.
    pub fn take(&mut self, host: &HostId) -> bool {
        let Some(after) = self.without(host) else { return false };
        for (service, a) in after {
            self.availability.insert(service.to_string(), a);
        }
        true
    }

    /// Takes one working instance away if its budget allows it.
    pub fn take_instance(&mut self, service: &str, host: &HostId) -> bool {
        let Some(rec) = self.state.hosts.get(host) else { return false };
        if !rec.takes_work() {
            return true;
        }
        let budget = self.services.get(service).map(|s| &s.budget);
        let now = self.availability.get(service);
        let Some(after) = budget.zip(now).and_then(|(b, a)| a.without_one_on(b, rec)) else { return false };
        self.availability.insert(service.to_string(), after);
        true
    }

    /// What the services on a host would have without it.
    fn without(&self, host: &HostId) -> Option<Vec<(&'a str, Availability)>> {
        let rec = self.state.hosts.get(host)?;
        let mut after = Vec::new();
        if !rec.takes_work() {
            return Some(after);
        }
        for (_, i) in self.on_host(host).filter(|(_, i)| i.ready) {
            let s = self.services.get(i.service.as_str())?;
            let a = self.availability.get(&i.service)?;
            after.push((i.service.as_str(), a.without_one_on(&s.budget, rec)?));
        }
        Some(after)
    }

    /// How tight the budgets of a host's services are: the sum of what its
    /// leaving takes of each service's slack.
    pub fn cost(&self, host: &HostId) -> f64 {
        let slack = |s: &&str| {
            let budget = &self.services.get(s)?.budget;
            Some(self.availability.get(*s)?.slack(budget).max(0) as f64)
        };
        self.services_on(host).iter().filter_map(slack).map(|s| 1.0 / (s + 0.1)).sum()
    }
}
