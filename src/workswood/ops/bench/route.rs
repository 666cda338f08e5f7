//! Compares routing policies on a queueing model.
//!
//! Six entries serve one service of ten endpoints with eight slots each. Arrivals are
//! Poisson, service times are exponential with a mean of ten milliseconds, and the network
//! delay is one millisecond each way. The policies with leased slots run the real
//! dispatcher. The others send a request at once to the chosen endpoint, where it queues
//! for a slot.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use workswood_core::fleet::PriorityClass;
use workswood_core::route::{
    Action, Dispatcher, DispatcherConfig, Endpoint, Loan, Outcome, ServiceView, SlotDemand,
};

use super::quantiles::{LatencyHistogram, median};

/// Number of entries.
const ENTRIES: usize = 6;
/// Number of endpoints.
const ENDPOINTS: usize = 10;
/// Slots of each endpoint.
const SLOTS: u32 = 8;
/// Requests that entries may have in flight to one endpoint, including those on the network.
const WINDOW: u32 = SLOTS + SLOTS / 4;
/// Mean service time in seconds.
const MEAN_SERVICE_S: f64 = 0.010;
/// Network delay in one direction, in seconds.
const NETWORK_DELAY_S: f64 = 0.001;
/// Time between exchanges of request counts among entries, in seconds.
const EXCHANGE_INTERVAL_S: f64 = 0.050;
/// Time between ticks of a dispatcher, in seconds.
const TICK_INTERVAL_S: f64 = 0.020;
/// Simulated time of a run, in seconds.
const RUN_S: f64 = 20.0;
/// Runs of which the median is printed, each with its own seed.
const RUNS: u64 = 5;
/// Time within which a request must be answered, in seconds.
const DEADLINE_S: f64 = 2.0;

/// A routing policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoutingPolicy {
    /// A random endpoint.
    Random,
    /// The endpoints in turn.
    RoundRobin,
    /// The endpoint with the fewest requests of this entry.
    LeastLocal,
    /// Of two random endpoints, the one with fewer requests of this entry.
    TwoLocal,
    /// Of two random endpoints, the one with fewer requests of all entries, as of the last exchange.
    TwoShared,
    /// Leased slots without lending.
    Leased,
    /// Leased slots that entries lend to each other.
    Lending,
}

const ALL_POLICIES: [RoutingPolicy; 7] = [
    RoutingPolicy::Random,
    RoutingPolicy::RoundRobin,
    RoutingPolicy::LeastLocal,
    RoutingPolicy::TwoLocal,
    RoutingPolicy::TwoShared,
    RoutingPolicy::Leased,
    RoutingPolicy::Lending,
];

enum Event {
    /// A request arrives at an entry.
    Arrival { class: PriorityClass },
    /// A request reaches its endpoint.
    ReachEndpoint { req: usize, endpoint: usize },
    /// An endpoint has served a request.
    Served { req: usize, endpoint: usize },
    /// The response reaches the entry.
    Response { req: usize },
    /// Entries exchange their request counts.
    Exchange,
    /// The dispatchers receive a tick.
    Tick,
    /// A request for slots reaches the lender.
    BorrowRequest { from: usize, to: usize, want: u32 },
    /// The lender's answer reaches the borrower.
    LoansGranted { to: usize, loans: Vec<Loan> },
    /// A returned loan reaches the lender.
    LoanReturned { to: usize, loan: u64 },
}

/// A request, with times in seconds.
struct Request {
    entry: usize,
    class: PriorityClass,
    arrived_at: f64,
    endpoint: usize,
}

/// An endpoint with its queue of request indexes.
struct Server {
    busy_slots: u32,
    queue: VecDeque<usize>,
}

/// Measurements of one run.
#[derive(Default)]
pub struct RunResult {
    /// Latencies of urgent requests.
    urgent: LatencyHistogram,
    /// Latencies of all other requests.
    other: LatencyHistogram,
    /// Requests that were answered by their deadline.
    done_in_time: u64,
    /// Requests that were refused.
    refused: u64,
    /// Requests that reached an endpoint without a free slot.
    reached_full: u64,
    /// Requests that reached an endpoint.
    reached: u64,
    /// Messages between entries.
    messages: u64,
    /// Slots that were idle while requests waited, in slot-seconds.
    idle_while_waiting: f64,
    /// Simulated time in seconds.
    duration_s: f64,
}

/// A discrete-event simulation of entries and endpoints.
struct Model {
    policy: RoutingPolicy,
    rng: StdRng,
    /// Times in nanoseconds and numbers of pending events.
    pending: BinaryHeap<Reverse<(u64, u64)>>,
    /// Pending events by number.
    events: std::collections::HashMap<u64, Event>,
    last_event_number: u64,
    /// Simulated time in seconds.
    now: f64,
    requests: Vec<Request>,
    servers: Vec<Server>,
    /// Requests in flight by entry and endpoint.
    in_flight: Vec<[u32; ENDPOINTS]>,
    /// Requests in flight of all entries by endpoint, as of the last exchange.
    exchanged_counts: [u32; ENDPOINTS],
    /// Counter for choices in turn.
    round_robin: usize,
    entries: Vec<Dispatcher>,
    /// Whether an entry has a pending request to borrow slots.
    borrowing: Vec<bool>,
    /// Share of the requests that go to the first entry, besides its share of the others.
    skew: f64,
    result: RunResult,
}

/// Returns the view of the service that dispatchers receive.
fn service_view(window: u32) -> ServiceView {
    let endpoint = |i: usize| Endpoint {
        id: format!("s/{i}"),
        number: i,
        address: format!("{i}"),
        host: String::new(),
        data_centre: format!("dc{}", i % 4),
        open: true,
    };
    ServiceView { slots_per_endpoint: window, endpoints: (0..ENDPOINTS).map(endpoint).collect() }
}

impl Model {
    fn new(policy: RoutingPolicy, window: u32, seed: u64) -> Model {
        Model::with_limits(policy, window, seed, DispatcherConfig::default())
    }

    fn with_limits(policy: RoutingPolicy, window: u32, seed: u64, limits: DispatcherConfig) -> Model {
        let limits = DispatcherConfig { lend: policy == RoutingPolicy::Lending, ..limits };
        let entry = |i: usize| {
            let mut d = Dispatcher::new(&format!("dc{}", i % 4), limits);
            // Well before the start of the run, so that the shares of slots have settled.
            d.update(Duration::ZERO, &service_view(window), Some(i), ENTRIES);
            d.tick(Duration::from_secs(10));
            d
        };
        Model {
            policy,
            rng: StdRng::seed_from_u64(seed),
            pending: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            last_event_number: 0,
            now: 20.0,
            requests: Vec::new(),
            servers: (0..ENDPOINTS).map(|_| Server { busy_slots: 0, queue: VecDeque::new() }).collect(),
            in_flight: vec![[0; ENDPOINTS]; ENTRIES],
            exchanged_counts: [0; ENDPOINTS],
            round_robin: 0,
            entries: (0..ENTRIES).map(entry).collect(),
            borrowing: vec![false; ENTRIES],
            skew: 0.0,
            result: RunResult::default(),
        }
    }

    /// Schedules an event after a delay in seconds.
    fn schedule_after(&mut self, delay_s: f64, event: Event) {
        self.last_event_number += 1;
        let when = ((self.now + delay_s) * 1e9) as u64;
        self.pending.push(Reverse((when, self.last_event_number)));
        self.events.insert(self.last_event_number, event);
    }

    /// Draws a time from an exponential distribution.
    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    /// Whether the policy uses the dispatcher with leased slots.
    fn uses_leases(&self) -> bool {
        matches!(self.policy, RoutingPolicy::Leased | RoutingPolicy::Lending)
    }

    /// Runs the model with arrivals of some classes, each at a share of the capacity.
    fn run(mut self, load: &[(PriorityClass, f64)], seconds: f64) -> RunResult {
        let capacity = f64::from(SLOTS) * ENDPOINTS as f64 / MEAN_SERVICE_S;
        let end = self.now + seconds;
        let rates: Vec<(PriorityClass, f64)> = load.iter().map(|(c, l)| (*c, l * capacity)).collect();
        for (class, rate) in &rates {
            let first = self.exponential(1.0 / rate);
            self.schedule_after(first, Event::Arrival { class: *class });
        }
        self.schedule_after(EXCHANGE_INTERVAL_S, Event::Exchange);
        self.schedule_after(TICK_INTERVAL_S, Event::Tick);
        while let Some(Reverse((when, number))) = self.pending.pop() {
            let now = when as f64 / 1e9;
            if now > end {
                break;
            }
            self.count_idle_slots(now);
            self.now = now;
            let Some(event) = self.events.remove(&number) else { continue };
            if let Event::Arrival { class } = event {
                let rate = rates.iter().find(|(c, _)| *c == class).map_or(1.0, |(_, r)| *r);
                let next = self.exponential(1.0 / rate);
                self.schedule_after(next, Event::Arrival { class });
            }
            self.handle(event);
        }
        self.result.duration_s = seconds;
        self.result
    }

    /// Adds the slots that were idle while requests waited, from the last event until `now`.
    fn count_idle_slots(&mut self, now: f64) {
        let idle: u32 = self.servers.iter().map(|s| SLOTS.saturating_sub(s.busy_slots)).sum();
        let waiting: usize = match self.uses_leases() {
            true => self.entries.iter().map(Dispatcher::queued_count).sum(),
            false => self.servers.iter().map(|s| s.queue.len()).sum(),
        };
        self.result.idle_while_waiting += f64::from(idle).min(waiting as f64) * (now - self.now);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival { class } => self.handle_arrival(class),
            Event::ReachEndpoint { req, endpoint } => self.reach_endpoint(req, endpoint),
            Event::Served { req, endpoint } => self.handle_served(req, endpoint),
            Event::Response { req } => self.handle_response(req),
            Event::Exchange => self.exchange_counts(),
            Event::Tick => self.tick(),
            Event::BorrowRequest { from, to, want } => self.lend(from, to, want),
            Event::LoansGranted { to, loans } => self.accept_loans(to, loans),
            Event::LoanReturned { to, loan } => {
                let now = self.clock();
                let actions = self.entries[to].loan_returned(now, loan);
                self.perform(to, actions);
            }
        }
    }

    fn clock(&self) -> Duration {
        Duration::from_secs_f64(self.now)
    }

    fn handle_arrival(&mut self, class: PriorityClass) {
        let skewed = self.rng.random::<f64>() < self.skew;
        let entry = if skewed { 0 } else { self.rng.random_range(0..ENTRIES) };
        let req = self.requests.len();
        self.requests.push(Request { entry, class, arrived_at: self.now, endpoint: 0 });
        if self.uses_leases() {
            let now = self.clock();
            let deadline = now + Duration::from_secs_f64(DEADLINE_S);
            let actions = self.entries[entry].submit(now, req as u64, class, deadline);
            self.perform(entry, actions);
            self.borrow(entry);
        } else {
            let endpoint = self.choose_endpoint(entry);
            self.send(req, endpoint);
        }
    }

    /// Chooses an endpoint by a policy without leases.
    fn choose_endpoint(&mut self, entry: usize) -> usize {
        let any = |rng: &mut StdRng| rng.random_range(0..ENDPOINTS);
        match self.policy {
            RoutingPolicy::Random => any(&mut self.rng),
            RoutingPolicy::RoundRobin => {
                self.round_robin += 1;
                // Each entry takes the endpoints in a turn of its own.
                (self.round_robin / ENTRIES + entry * 3) % ENDPOINTS
            }
            RoutingPolicy::LeastLocal => {
                let start = any(&mut self.rng);
                let order = (0..ENDPOINTS).map(|i| (i + start) % ENDPOINTS);
                order.min_by_key(|e| self.in_flight[entry][*e]).unwrap_or(0)
            }
            _ => {
                let (a, b) = (any(&mut self.rng), any(&mut self.rng));
                let shared = self.policy == RoutingPolicy::TwoShared;
                let load =
                    |e: usize| self.in_flight[entry][e] + if shared { self.exchanged_counts[e] } else { 0 };
                if load(a) <= load(b) { a } else { b }
            }
        }
    }

    fn send(&mut self, req: usize, endpoint: usize) {
        let entry = self.requests[req].entry;
        self.requests[req].endpoint = endpoint;
        self.in_flight[entry][endpoint] += 1;
        self.schedule_after(NETWORK_DELAY_S, Event::ReachEndpoint { req, endpoint });
    }

    fn reach_endpoint(&mut self, req: usize, endpoint: usize) {
        self.result.reached += 1;
        if self.servers[endpoint].busy_slots >= SLOTS {
            self.result.reached_full += 1;
            self.servers[endpoint].queue.push_back(req);
            return;
        }
        self.serve(req, endpoint);
    }

    fn serve(&mut self, req: usize, endpoint: usize) {
        self.servers[endpoint].busy_slots += 1;
        let factor = if self.requests[req].class == PriorityClass::Long { 20.0 } else { 1.0 };
        let service_time = self.exponential(MEAN_SERVICE_S * factor);
        self.schedule_after(service_time, Event::Served { req, endpoint });
    }

    fn handle_served(&mut self, req: usize, endpoint: usize) {
        self.servers[endpoint].busy_slots -= 1;
        self.schedule_after(NETWORK_DELAY_S, Event::Response { req });
        if let Some(next) = self.servers[endpoint].queue.pop_front() {
            self.serve(next, endpoint);
        }
    }

    fn handle_response(&mut self, req: usize) {
        let (entry, endpoint, class) =
            (self.requests[req].entry, self.requests[req].endpoint, self.requests[req].class);
        self.in_flight[entry][endpoint] -= 1;
        let latency = self.now - self.requests[req].arrived_at;
        match class {
            PriorityClass::Urgent => self.result.urgent.record(latency),
            _ => self.result.other.record(latency),
        }
        self.result.done_in_time += u64::from(latency <= DEADLINE_S);
        if self.uses_leases() {
            let now = self.clock();
            let actions = self.entries[entry].finish(now, req as u64, Outcome::Success);
            self.perform(entry, actions);
        }
    }

    fn exchange_counts(&mut self) {
        if self.policy == RoutingPolicy::TwoShared {
            self.result.messages += (ENTRIES * (ENTRIES - 1)) as u64;
            for e in 0..ENDPOINTS {
                self.exchanged_counts[e] = self.in_flight.iter().map(|c| c[e]).sum();
            }
        }
        self.schedule_after(EXCHANGE_INTERVAL_S, Event::Exchange);
    }

    fn tick(&mut self) {
        if self.uses_leases() {
            for i in 0..ENTRIES {
                let now = self.clock();
                // Every loan is confirmed, as no entry fails in this model.
                let held: Vec<(String, u64)> =
                    self.entries[i].borrowed_loans().map(|l| (l.peer.clone(), l.id)).collect();
                for (peer, id) in held {
                    let lender: usize = peer.parse().unwrap_or(0);
                    self.entries[lender].loans_confirmed(now, &i.to_string(), &[id]);
                }
                let actions = self.entries[i].tick(now);
                self.perform(i, actions);
                self.borrow(i);
            }
        }
        self.schedule_after(TICK_INTERVAL_S, Event::Tick);
    }

    fn borrow(&mut self, entry: usize) {
        if self.borrowing[entry] {
            return;
        }
        let now = self.clock();
        if let Some(want) = self.entries[entry].slot_demand(now) {
            self.borrowing[entry] = true;
            self.round_robin += 1;
            let to = (entry + 1 + self.round_robin % (ENTRIES - 1)) % ENTRIES;
            self.result.messages += 2;
            self.schedule_after(NETWORK_DELAY_S, Event::BorrowRequest { from: entry, to, want: want.slots });
        }
    }

    fn lend(&mut self, from: usize, to: usize, want: u32) {
        let now = self.clock();
        let loans = self.entries[to].lend(now, &from.to_string(), SlotDemand { slots: want });
        let loans = loans.into_iter().map(|l| Loan { peer: to.to_string(), ..l }).collect();
        self.schedule_after(NETWORK_DELAY_S, Event::LoansGranted { to: from, loans });
    }

    fn accept_loans(&mut self, to: usize, loans: Vec<Loan>) {
        self.borrowing[to] = false;
        let granted = !loans.is_empty();
        let now = self.clock();
        let actions = self.entries[to].accept_loans(now, loans);
        self.perform(to, actions);
        if granted {
            self.borrow(to);
        }
    }

    fn perform(&mut self, entry: usize, actions: Vec<Action>) {
        for a in actions {
            match a {
                Action::Send { request_id, address, .. } => {
                    self.send(request_id as usize, address.parse().unwrap_or(0));
                }
                Action::Refuse { .. } => self.result.refused += 1,
                Action::ReturnLoan(loan) => {
                    self.result.messages += 1;
                    let to = loan.peer.parse().unwrap_or(entry);
                    self.schedule_after(NETWORK_DELAY_S, Event::LoanReturned { to, loan: loan.id });
                }
            }
        }
    }
}

/// Runs the model once per seed with the default window.
fn run_seeds(policy: RoutingPolicy, load: &[(PriorityClass, f64)]) -> Vec<RunResult> {
    run_seeds_with_window(policy, WINDOW, load)
}

/// Runs the model once per seed.
fn run_seeds_with_window(
    policy: RoutingPolicy,
    window: u32,
    load: &[(PriorityClass, f64)],
) -> Vec<RunResult> {
    (1..=RUNS).map(|seed| Model::new(policy, window, seed).run(load, RUN_S)).collect()
}

/// Returns the median of a measurement over several runs.
fn median_of(all: &[RunResult], measure: impl Fn(&RunResult) -> f64) -> f64 {
    median(all.iter().map(measure).collect())
}

/// Compares all routing policies at several loads.
pub fn compare() {
    crate::outln!(
        "load policy p50_ms p99_ms p999_ms over_slots% idle_while_waiting_slots goodput% messages_per_s"
    );
    let capacity = f64::from(SLOTS) * ENDPOINTS as f64 / MEAN_SERVICE_S;
    for load in [0.5, 0.8, 0.95, 1.2] {
        for policy in ALL_POLICIES {
            let all = run_seeds(policy, &[(PriorityClass::Urgent, load)]);
            crate::outln!(
                "{load:.2} {policy:?} {:.1} {:.1} {:.1} {:.2} {:.2} {:.1} {:.0}",
                median_of(&all, |s| s.urgent.quantile_ms(0.5)),
                median_of(&all, |s| s.urgent.quantile_ms(0.99)),
                median_of(&all, |s| s.urgent.quantile_ms(0.999)),
                median_of(&all, |s| 100.0 * s.reached_full as f64 / s.reached.max(1) as f64),
                median_of(&all, |s| s.idle_while_waiting / s.duration_s),
                median_of(&all, |s| 100.0 * s.done_in_time as f64 / s.duration_s / capacity),
                median_of(&all, |s| s.messages as f64 / s.duration_s),
            );
        }
    }
}

/// Compares windows of leased slots. A window above the slots of an endpoint keeps the endpoint
/// busy while requests and responses cross the network.
pub fn window() {
    crate::outln!("load window p50_ms p99_ms p999_ms over_slots% goodput%");
    let capacity = f64::from(SLOTS) * ENDPOINTS as f64 / MEAN_SERVICE_S;
    for load in [0.5, 0.8, 0.95, 1.2] {
        for window in 8..=13 {
            let all = run_seeds_with_window(RoutingPolicy::Lending, window, &[(PriorityClass::Urgent, load)]);
            crate::outln!(
                "{load:.2} {window} {:.1} {:.1} {:.1} {:.2} {:.1}",
                median_of(&all, |s| s.urgent.quantile_ms(0.5)),
                median_of(&all, |s| s.urgent.quantile_ms(0.99)),
                median_of(&all, |s| s.urgent.quantile_ms(0.999)),
                median_of(&all, |s| 100.0 * s.reached_full as f64 / s.reached.max(1) as f64),
                median_of(&all, |s| 100.0 * s.done_in_time as f64 / s.duration_s / capacity),
            );
        }
    }
}

/// Compares leased slots with and without lending while one entry gets more than its share of
/// the requests.
pub fn skew() {
    crate::outln!("load to_one_entry% policy p50_ms p99_ms refused% goodput% messages_per_s");
    let capacity = f64::from(SLOTS) * ENDPOINTS as f64 / MEAN_SERVICE_S;
    for (load, skew) in [(0.5, 0.2), (0.5, 0.5), (0.8, 0.1), (0.8, 0.3)] {
        for policy in [RoutingPolicy::LeastLocal, RoutingPolicy::Leased, RoutingPolicy::Lending] {
            let model = |seed| Model { skew, ..Model::new(policy, WINDOW, seed) };
            let all: Vec<RunResult> =
                (1..=RUNS).map(|s| model(s).run(&[(PriorityClass::Urgent, load)], RUN_S)).collect();
            crate::outln!(
                "{load:.2} {:.0} {policy:?} {:.1} {:.1} {:.2} {:.1} {:.0}",
                100.0 * (skew + (1.0 - skew) / ENTRIES as f64),
                median_of(&all, |s| s.urgent.quantile_ms(0.5)),
                median_of(&all, |s| s.urgent.quantile_ms(0.99)),
                median_of(&all, |s| 100.0 * s.refused as f64 / (s.refused + s.reached).max(1) as f64),
                median_of(&all, |s| 100.0 * s.done_in_time as f64 / s.duration_s / capacity),
                median_of(&all, |s| s.messages as f64 / s.duration_s),
            );
        }
    }
}

/// Compares refusing requests at once with queueing them at the entry, by the length of the queue.
pub fn queue_limit() {
    crate::outln!("load queue_per_entry p50_ms p99_ms refused% goodput%");
    let capacity = f64::from(SLOTS) * ENDPOINTS as f64 / MEAN_SERVICE_S;
    for load in [0.8, 0.95, 1.2] {
        for queued in [0, 3, 30, 300, 1_000] {
            let limits = DispatcherConfig { max_queued: queued, ..DispatcherConfig::default() };
            let model = |seed| Model::with_limits(RoutingPolicy::Lending, WINDOW, seed, limits);
            let all: Vec<RunResult> =
                (1..=RUNS).map(|s| model(s).run(&[(PriorityClass::Urgent, load)], RUN_S)).collect();
            crate::outln!(
                "{load:.2} {queued} {:.1} {:.1} {:.2} {:.1}",
                median_of(&all, |s| s.urgent.quantile_ms(0.5)),
                median_of(&all, |s| s.urgent.quantile_ms(0.99)),
                median_of(&all, |s| 100.0 * s.refused as f64 / (s.refused + s.reached).max(1) as f64),
                median_of(&all, |s| 100.0 * s.done_in_time as f64 / s.duration_s / capacity),
            );
        }
    }
}

/// Measures urgent requests alone, beside a flood of normal ones, and beside long ones.
pub fn flood() {
    crate::outln!(
        "case policy window urgent_p50_ms urgent_p99_ms urgent_p999_ms others_done_per_s refused_per_s"
    );
    let cases: [(&str, &[(PriorityClass, f64)]); 4] = [
        ("unloaded", &[(PriorityClass::Urgent, 0.05)]),
        ("urgent_80%", &[(PriorityClass::Urgent, 0.80)]),
        ("urgent_30%+flood_200%", &[(PriorityClass::Urgent, 0.30), (PriorityClass::Normal, 2.0)]),
        ("urgent_120%+long_20%", &[(PriorityClass::Urgent, 1.2), (PriorityClass::Long, 0.01)]),
    ];
    for (name, load) in cases {
        let policies = [
            (RoutingPolicy::Random, SLOTS),
            (RoutingPolicy::LeastLocal, SLOTS),
            (RoutingPolicy::Lending, SLOTS),
            (RoutingPolicy::Lending, WINDOW),
            (RoutingPolicy::Lending, WINDOW + 2),
        ];
        for (policy, window) in policies {
            let all = run_seeds_with_window(policy, window, load);
            crate::outln!(
                "{name} {policy:?} {window} {:.1} {:.1} {:.1} {:.0} {:.0}",
                median_of(&all, |s| s.urgent.quantile_ms(0.5)),
                median_of(&all, |s| s.urgent.quantile_ms(0.99)),
                median_of(&all, |s| s.urgent.quantile_ms(0.999)),
                median_of(&all, |s| s.other.len() as f64 / s.duration_s),
                median_of(&all, |s| s.refused as f64 / s.duration_s),
            );
        }
    }
}

/// Measures the time of one routing decision: submitting and finishing a request.
pub fn decision() {
    const ROUNDS: u64 = 20_000;
    crate::outln!("endpoints ns_per_request");
    for n in [10usize, 50, 500] {
        let mut view = service_view(SLOTS);
        view.endpoints = (0..n)
            .map(|i| Endpoint { id: format!("s/{i}"), number: i, ..view.endpoints[0].clone() })
            .collect();
        let times = (0..RUNS).map(|_| {
            let mut dispatcher = Dispatcher::new("dc0", DispatcherConfig::default());
            dispatcher.update(Duration::ZERO, &view, Some(0), 1);
            let now = Duration::from_secs(10);
            dispatcher.tick(now);
            let started = Instant::now();
            for request_id in 0..ROUNDS {
                let actions = dispatcher.submit(now, request_id, PriorityClass::Urgent, now * 2);
                std::hint::black_box(&actions);
                dispatcher.finish(now, request_id, Outcome::Success);
            }
            started.elapsed().as_nanos() as f64 / ROUNDS as f64
        });
        crate::outln!("{n} {:.0}", median(times.collect()));
    }
}
