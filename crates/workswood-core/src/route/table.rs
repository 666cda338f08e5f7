//! The routing table: an immutable extract of the folded state, replaced as a whole when
//! the state changes.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::fleet::{PriorityClass, Route};
use crate::fold::State;
use crate::ids::{DataCentre, HostId, InstanceId, Offset, ServiceId};

/// An endpoint of a service in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Name of the instance.
    pub id: InstanceId,
    /// Number of the instance in its service, from which slot shares are computed.
    pub number: usize,
    /// IP address and port.
    pub address: String,
    /// The host it runs on.
    pub host: HostId,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Whether it accepts new requests.
    pub open: bool,
}

/// A service in force, as routing needs it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceView {
    /// Maximum number of requests in flight to one endpoint, over all entries.
    pub slots_per_endpoint: u32,
    /// All endpoints, ordered by instance name.
    pub endpoints: Vec<Endpoint>,
}

/// What an entry needs to route a request.
#[derive(Clone, Debug, Default)]
pub struct RouteTable {
    /// `next_offset` of the state that the table was built from.
    pub next_offset: Offset,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceView>,
    /// Routes and their services, longest path prefix first.
    pub routes: Vec<(Route, ServiceId)>,
    /// Index of this process on the roster, if it is there, and the length of the roster.
    pub roster_position: (Option<usize>, usize),
}

impl RouteTable {
    /// Builds the table of a state for the process `own_id`.
    pub fn new(state: &State, own_id: &str) -> RouteTable {
        let mut routes: Vec<(Route, ServiceId)> =
            state.services().flat_map(|s| s.routes.iter().map(|r| (r.clone(), s.name.clone()))).collect();
        routes.sort_by(|a, b| b.0.path.len().cmp(&a.0.path.len()).then(a.0.path.cmp(&b.0.path)));
        let services = state.services().map(|s| {
            let endpoints = endpoints_of(state, &s.name);
            (s.name.clone(), ServiceView { slots_per_endpoint: s.window(), endpoints })
        });
        let own_index = state.roster.iter().position(|m| m.id == own_id);
        RouteTable {
            next_offset: state.next_offset,
            services: services.collect(),
            routes,
            roster_position: (own_index, state.roster.len()),
        }
    }

    /// The route with the longest prefix of a path, and its service.
    pub fn route_for(&self, path: &str) -> Option<&(Route, ServiceId)> {
        self.routes.iter().find(|(r, _)| path.starts_with(&r.path))
    }

    /// The longest deadline of the routes of a service that have a class.
    pub fn longest_deadline(&self, service: &str, class: PriorityClass) -> Option<Duration> {
        let matching = self.routes.iter().filter(|(r, s)| s == service && r.class == class);
        matching.map(|(r, _)| r.deadline).max()
    }
}

/// The endpoints of a service whose address is known.
fn endpoints_of(state: &State, service: &str) -> Vec<Endpoint> {
    let with_address = state.instances_of(service).filter(|(_, i)| !i.address.is_empty());
    let endpoint = |(id, i): (&InstanceId, &crate::fold::PlacedInstance)| {
        let host = state.hosts.get(&i.host);
        Endpoint {
            id: id.clone(),
            number: instance_number(id),
            address: i.address.clone(),
            host: i.host.clone(),
            data_centre: host.map(|h| h.location.data_centre.clone()).unwrap_or_default(),
            open: i.ready && host.is_some_and(|h| h.takes_work()),
        }
    };
    with_address.map(endpoint).collect()
}

/// The number at the end of an instance's name, 0 if there is none.
fn instance_number(id: &str) -> usize {
    id.rsplit_once('/').and_then(|(_, n)| n.parse().ok()).unwrap_or_default()
}
