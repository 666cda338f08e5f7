//! The routing table: a read-only view of the state, shared with every request
//! by read-copy-update.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet::{Class, Route};
use crate::fold::State;
use crate::ids::{DataCentre, HostId, InstanceId, Offset, ServiceId};

/// An endpoint that is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// The instance.
    pub id: InstanceId,
    /// Number of the instance in its service; shares are computed of it.
    pub number: usize,
    /// IP address and port.
    pub address: String,
    /// The host it runs on.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Whether it takes new work.
    pub open: bool,
}

/// A service that is in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceView {
    /// Requests that may be under way to one endpoint at a time.
    pub window: u32,
    /// All endpoints, by instance.
    pub endpoints: Vec<Endpoint>,
}

/// What is needed to route a request.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// Next offset of the state it was made of.
    pub next: Offset,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceView>,
    /// Routes with their service, longest path first.
    pub routes: Vec<(Route, ServiceId)>,
    /// This process's number on the roster, and the roster's length.
    pub roster_position: (Option<usize>, usize),
}

impl RouteTable {
    /// Makes the table of a state for the process `me`.
    pub fn new(state: &State, me: &str) -> RouteTable {
        let mut routes: Vec<(Route, ServiceId)> =
            state.services().flat_map(|s| s.routes.iter().map(|r| (r.clone(), s.name.clone()))).collect();
        routes.sort_by(|a, b| b.0.path.len().cmp(&a.0.path.len()).then(a.0.path.cmp(&b.0.path)));
        let services = state.services().map(|s| {
            let endpoints = endpoints(state, &s.name);
            (s.name.clone(), ServiceView { window: s.window(), endpoints })
        });
        let me = state.roster.iter().position(|m| m.id == me);
        RouteTable {
            next: state.next,
            services: services.collect(),
            routes,
            roster_position: (me, state.roster.len()),
        }
    }

    /// The route of a path.
    pub fn route_for(&self, path: &str) -> Option<&(Route, ServiceId)> {
        self.routes.iter().find(|(r, _)| path.starts_with(&r.path))
    }

    /// The longest deadline of a service's class.
    pub fn longest_deadline(&self, service: &str, class: Class) -> Option<Duration> {
        let fits = self.routes.iter().filter(|(r, s)| s == service && r.class == class);
        fits.map(|(r, _)| r.deadline).max()
    }
}

fn endpoints(state: &State, service: &str) -> Vec<Endpoint> {
    let known = state.instances_of(service).filter(|(_, i)| !i.address.is_empty());
    let view = |(id, i): (&InstanceId, &crate::fold::InstanceRec)| {
        let host = state.hosts.get(&i.host);
        Endpoint {
            id: id.clone(),
            number: number(id),
            address: i.address.clone(),
            host: i.host.clone(),
            data_centre: host.map(|h| h.place.data_centre.clone()).unwrap_or_default(),
            open: i.ready && host.is_some_and(|h| h.takes_work()),
        }
    };
    known.map(view).collect()
}

/// The number at the end of an instance's name.
fn number(id: &str) -> usize {
    id.rsplit_once('/').and_then(|(_, n)| n.parse().ok()).unwrap_or_default()
}
