//! Ways of routing, compared on a queueing model.
//!
//! Six entries serve one service of ten endpoints with eight slots each.
//! Requests come at random, take a random time with a mean of ten
//! milliseconds, and cross the network in one millisecond each way. The leased
//! way runs the dispatcher that entries run; the others send at once to the
//! endpoint they choose, where the request waits for a slot.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use workswood_core::fleet::PriorityClass;
use workswood_core::route::{
    Action, Dispatcher, DispatcherConfig, Endpoint, Loan, Outcome, ServiceView, SlotDemand,
};

use super::stats::{Times, median};

const ENTRIES: usize = 6;
const ENDPOINTS: usize = 10;
const SLOTS: u32 = 8;
/// Requests that entries may have under way to one endpoint, the wire included.
const WINDOW: u32 = SLOTS + SLOTS / 4;
const MEAN: f64 = 0.010;
const WIRE: f64 = 0.001;
/// Time between exchanges of load counts.
const EXCHANGE: f64 = 0.050;
/// Time between ticks of a dispatcher.
const TICK: f64 = 0.020;
const SECONDS: f64 = 20.0;
const RUNS: u64 = 5;
/// Requests of class urgent must be answered within this time.
const DEADLINE: f64 = 2.0;

/// A way of routing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// Any endpoint.
    Random,
    /// One after the other.
    RoundRobin,
    /// The one with the fewest requests of this entry.
    LeastLocal,
    /// The better of two by requests of this entry.
    TwoLocal,
    /// The better of two by requests of all entries, as last heard.
    TwoShared,
    /// Leased slots, without lending.
    Leased,
    /// Leased slots that peers lend to each other.
    Lending,
}

const ALL: [Policy; 7] = [
    Policy::Random,
    Policy::RoundRobin,
    Policy::LeastLocal,
    Policy::TwoLocal,
    Policy::TwoShared,
    Policy::Leased,
    Policy::Lending,
];

enum Event {
    Arrive { class: PriorityClass },
    Reach { req: usize, endpoint: usize },
    Done { req: usize, endpoint: usize },
    Answer { req: usize },
    Exchange,
    Tick,
    Ask { from: usize, to: usize, want: u32 },
    Lent { to: usize, loans: Vec<Loan> },
    Returned { to: usize, loan: u64 },
}

struct Request {
    entry: usize,
    class: PriorityClass,
    came: f64,
    endpoint: usize,
}

struct Server {
    busy: u32,
    queue: VecDeque<usize>,
}

/// What one run showed.
#[derive(Default)]
pub struct Shown {
    urgent: Times,
    long: Times,
    done: u64,
    refused: u64,
    over: u64,
    reached: u64,
    messages: u64,
    idle_while_waiting: f64,
    last: f64,
}

struct Model {
    policy: Policy,
    rng: StdRng,
    heap: BinaryHeap<Reverse<(u64, u64)>>,
    events: std::collections::HashMap<u64, Event>,
    number: u64,
    now: f64,
    requests: Vec<Request>,
    servers: Vec<Server>,
    counts: Vec<[u32; ENDPOINTS]>,
    heard: [u32; ENDPOINTS],
    turn: usize,
    entries: Vec<Dispatcher>,
    asking: Vec<bool>,
    /// Share of the requests that all go to one entry.
    skew: f64,
    shown: Shown,
}

fn view(window: u32) -> ServiceView {
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
    fn new(policy: Policy, window: u32, seed: u64) -> Model {
        Model::with_limits(policy, window, seed, DispatcherConfig::default())
    }

    fn with_limits(policy: Policy, window: u32, seed: u64, limits: DispatcherConfig) -> Model {
        let limits = DispatcherConfig { lend: policy == Policy::Lending, ..limits };
        let entry = |i: usize| {
            let mut d = Dispatcher::new(&format!("dc{}", i % 4), limits);
            // Long before the start, so that shares have settled.
            d.update(Duration::ZERO, &view(window), Some(i), ENTRIES);
            d.tick(Duration::from_secs(10));
            d
        };
        Model {
            policy,
            rng: StdRng::seed_from_u64(seed),
            heap: BinaryHeap::new(),
            events: std::collections::HashMap::new(),
            number: 0,
            now: 20.0,
            requests: Vec::new(),
            servers: (0..ENDPOINTS).map(|_| Server { busy: 0, queue: VecDeque::new() }).collect(),
            counts: vec![[0; ENDPOINTS]; ENTRIES],
            heard: [0; ENDPOINTS],
            turn: 0,
            entries: (0..ENTRIES).map(entry).collect(),
            asking: vec![false; ENTRIES],
            skew: 0.0,
            shown: Shown::default(),
        }
    }

    fn at(&mut self, after: f64, e: Event) {
        self.number += 1;
        let when = ((self.now + after) * 1e9) as u64;
        self.heap.push(Reverse((when, self.number)));
        self.events.insert(self.number, e);
    }

    fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.rng.random::<f64>()).ln()
    }

    fn leased(&self) -> bool {
        matches!(self.policy, Policy::Leased | Policy::Lending)
    }

    /// Runs arrivals of some classes, each at a share of the capacity.
    fn run(mut self, load: &[(PriorityClass, f64)], seconds: f64) -> Shown {
        let capacity = f64::from(SLOTS) * ENDPOINTS as f64 / MEAN;
        let end = self.now + seconds;
        let rates: Vec<(PriorityClass, f64)> = load.iter().map(|(c, l)| (*c, l * capacity)).collect();
        for (class, rate) in &rates {
            let first = self.exponential(1.0 / rate);
            self.at(first, Event::Arrive { class: *class });
        }
        self.at(EXCHANGE, Event::Exchange);
        self.at(TICK, Event::Tick);
        while let Some(Reverse((when, number))) = self.heap.pop() {
            let now = when as f64 / 1e9;
            if now > end {
                break;
            }
            self.account(now);
            self.now = now;
            let Some(e) = self.events.remove(&number) else { continue };
            if let Event::Arrive { class } = e {
                let rate = rates.iter().find(|(c, _)| *c == class).map_or(1.0, |(_, r)| *r);
                let next = self.exponential(1.0 / rate);
                self.at(next, Event::Arrive { class });
            }
            self.handle(e);
        }
        self.shown.last = seconds;
        self.shown
    }

    /// Slots that were idle while requests waited, in slot-seconds.
    fn account(&mut self, now: f64) {
        let idle: u32 = self.servers.iter().map(|s| SLOTS.saturating_sub(s.busy)).sum();
        let waiting: usize = match self.leased() {
            true => self.entries.iter().map(Dispatcher::queued_count).sum(),
            false => self.servers.iter().map(|s| s.queue.len()).sum(),
        };
        self.shown.idle_while_waiting += f64::from(idle).min(waiting as f64) * (now - self.now);
    }

    fn handle(&mut self, e: Event) {
        match e {
            Event::Arrive { class } => self.arrive(class),
            Event::Reach { req, endpoint } => self.reach(req, endpoint),
            Event::Done { req, endpoint } => self.done(req, endpoint),
            Event::Answer { req } => self.answer(req),
            Event::Exchange => self.exchange(),
            Event::Tick => self.tick(),
            Event::Ask { from, to, want } => self.ask(from, to, want),
            Event::Lent { to, loans } => self.lent(to, loans),
            Event::Returned { to, loan } => {
                let now = self.clock();
                let actions = self.entries[to].loan_returned(now, loan);
                self.carry_out(to, actions);
            }
        }
    }

    fn clock(&self) -> Duration {
        Duration::from_secs_f64(self.now)
    }

    fn arrive(&mut self, class: PriorityClass) {
        let favoured = self.rng.random::<f64>() < self.skew;
        let entry = if favoured { 0 } else { self.rng.random_range(0..ENTRIES) };
        let req = self.requests.len();
        self.requests.push(Request { entry, class, came: self.now, endpoint: 0 });
        if self.leased() {
            let now = self.clock();
            let deadline = now + Duration::from_secs_f64(DEADLINE);
            let actions = self.entries[entry].submit(now, req as u64, class, deadline);
            self.carry_out(entry, actions);
            self.borrow(entry);
        } else {
            let endpoint = self.choose(entry);
            self.send(req, endpoint);
        }
    }

    fn choose(&mut self, entry: usize) -> usize {
        let any = |rng: &mut StdRng| rng.random_range(0..ENDPOINTS);
        match self.policy {
            Policy::Random => any(&mut self.rng),
            Policy::RoundRobin => {
                self.turn += 1;
                // Entries do not share a turn, so each has its own.
                (self.turn / ENTRIES + entry * 3) % ENDPOINTS
            }
            Policy::LeastLocal => {
                let start = any(&mut self.rng);
                let order = (0..ENDPOINTS).map(|i| (i + start) % ENDPOINTS);
                order.min_by_key(|e| self.counts[entry][*e]).unwrap_or(0)
            }
            _ => {
                let (a, b) = (any(&mut self.rng), any(&mut self.rng));
                let shared = self.policy == Policy::TwoShared;
                let load = |e: usize| self.counts[entry][e] + if shared { self.heard[e] } else { 0 };
                if load(a) <= load(b) { a } else { b }
            }
        }
    }

    fn send(&mut self, req: usize, endpoint: usize) {
        let entry = self.requests[req].entry;
        self.requests[req].endpoint = endpoint;
        self.counts[entry][endpoint] += 1;
        self.at(WIRE, Event::Reach { req, endpoint });
    }

    fn reach(&mut self, req: usize, endpoint: usize) {
        self.shown.reached += 1;
        if self.servers[endpoint].busy >= SLOTS {
            self.shown.over += 1;
            self.servers[endpoint].queue.push_back(req);
            return;
        }
        self.serve(req, endpoint);
    }

    fn serve(&mut self, req: usize, endpoint: usize) {
        self.servers[endpoint].busy += 1;
        let long = if self.requests[req].class == PriorityClass::Long { 20.0 } else { 1.0 };
        let took = self.exponential(MEAN * long);
        self.at(took, Event::Done { req, endpoint });
    }

    fn done(&mut self, req: usize, endpoint: usize) {
        self.servers[endpoint].busy -= 1;
        self.at(WIRE, Event::Answer { req });
        if let Some(next) = self.servers[endpoint].queue.pop_front() {
            self.serve(next, endpoint);
        }
    }

    fn answer(&mut self, req: usize) {
        let (entry, endpoint, class) =
            (self.requests[req].entry, self.requests[req].endpoint, self.requests[req].class);
        self.counts[entry][endpoint] -= 1;
        let took = self.now - self.requests[req].came;
        match class {
            PriorityClass::Urgent => self.shown.urgent.add(took),
            _ => self.shown.long.add(took),
        }
        self.shown.done += u64::from(took <= DEADLINE);
        if self.leased() {
            let now = self.clock();
            let actions = self.entries[entry].finish(now, req as u64, Outcome::Success);
            self.carry_out(entry, actions);
        }
    }

    fn exchange(&mut self) {
        if self.policy == Policy::TwoShared {
            self.shown.messages += (ENTRIES * (ENTRIES - 1)) as u64;
            for e in 0..ENDPOINTS {
                self.heard[e] = self.counts.iter().map(|c| c[e]).sum();
            }
        }
        self.at(EXCHANGE, Event::Exchange);
    }

    fn tick(&mut self) {
        if self.leased() {
            for i in 0..ENTRIES {
                let now = self.clock();
                // Every loan is confirmed: nobody dies in this model.
                let held: Vec<(String, u64)> =
                    self.entries[i].borrowed_loans().map(|l| (l.peer.clone(), l.id)).collect();
                for (peer, id) in held {
                    let lender: usize = peer.parse().unwrap_or(0);
                    self.entries[lender].loans_confirmed(now, &i.to_string(), &[id]);
                }
                let actions = self.entries[i].tick(now);
                self.carry_out(i, actions);
                self.borrow(i);
            }
        }
        self.at(TICK, Event::Tick);
    }

    fn borrow(&mut self, entry: usize) {
        if self.asking[entry] {
            return;
        }
        let now = self.clock();
        if let Some(want) = self.entries[entry].slot_demand(now) {
            self.asking[entry] = true;
            self.turn += 1;
            let to = (entry + 1 + self.turn % (ENTRIES - 1)) % ENTRIES;
            self.shown.messages += 2;
            self.at(WIRE, Event::Ask { from: entry, to, want: want.slots });
        }
    }

    fn ask(&mut self, from: usize, to: usize, want: u32) {
        let now = self.clock();
        let loans = self.entries[to].lend(now, &from.to_string(), SlotDemand { slots: want });
        let loans = loans.into_iter().map(|l| Loan { peer: to.to_string(), ..l }).collect();
        self.at(WIRE, Event::Lent { to: from, loans });
    }

    fn lent(&mut self, to: usize, loans: Vec<Loan>) {
        self.asking[to] = false;
        let some = !loans.is_empty();
        let now = self.clock();
        let actions = self.entries[to].accept_loans(now, loans);
        self.carry_out(to, actions);
        if some {
            self.borrow(to);
        }
    }

    fn carry_out(&mut self, entry: usize, actions: Vec<Action>) {
        for a in actions {
            match a {
                Action::Send { request_id, address, .. } => {
                    self.send(request_id as usize, address.parse().unwrap_or(0));
                }
                Action::Refuse { .. } => self.shown.refused += 1,
                Action::ReturnLoan(loan) => {
                    self.shown.messages += 1;
                    let to = loan.peer.parse().unwrap_or(entry);
                    self.at(WIRE, Event::Returned { to, loan: loan.id });
                }
            }
        }
    }
}

fn runs(policy: Policy, load: &[(PriorityClass, f64)]) -> Vec<Shown> {
    runs_with(policy, WINDOW, load)
}

fn runs_with(policy: Policy, window: u32, load: &[(PriorityClass, f64)]) -> Vec<Shown> {
    (1..=RUNS).map(|seed| Model::new(policy, window, seed).run(load, SECONDS)).collect()
}

fn mid(all: &[Shown], f: impl Fn(&Shown) -> f64) -> f64 {
    median(all.iter().map(f).collect())
}

/// Compares all ways at several loads.
pub fn compare() {
    crate::outln!(
        "load policy p50_ms p99_ms p999_ms over_slots% idle_while_waiting_slots goodput% messages_per_s"
    );
    let capacity = f64::from(SLOTS) * ENDPOINTS as f64 / MEAN;
    for load in [0.5, 0.8, 0.95, 1.2] {
        for policy in ALL {
            let all = runs(policy, &[(PriorityClass::Urgent, load)]);
            crate::outln!(
                "{load:.2} {policy:?} {:.1} {:.1} {:.1} {:.2} {:.2} {:.1} {:.0}",
                mid(&all, |s| s.urgent.ms(0.5)),
                mid(&all, |s| s.urgent.ms(0.99)),
                mid(&all, |s| s.urgent.ms(0.999)),
                mid(&all, |s| 100.0 * s.over as f64 / s.reached.max(1) as f64),
                mid(&all, |s| s.idle_while_waiting / s.last),
                mid(&all, |s| 100.0 * s.done as f64 / s.last / capacity),
                mid(&all, |s| s.messages as f64 / s.last),
            );
        }
    }
}

/// Compares windows of leased slots: more than the slots of an endpoint fill
/// the time that requests spend on the wire.
pub fn window() {
    crate::outln!("load window p50_ms p99_ms p999_ms over_slots% goodput%");
    let capacity = f64::from(SLOTS) * ENDPOINTS as f64 / MEAN;
    for load in [0.5, 0.8, 0.95, 1.2] {
        for window in 8..=13 {
            let all = runs_with(Policy::Lending, window, &[(PriorityClass::Urgent, load)]);
            crate::outln!(
                "{load:.2} {window} {:.1} {:.1} {:.1} {:.2} {:.1}",
                mid(&all, |s| s.urgent.ms(0.5)),
                mid(&all, |s| s.urgent.ms(0.99)),
                mid(&all, |s| s.urgent.ms(0.999)),
                mid(&all, |s| 100.0 * s.over as f64 / s.reached.max(1) as f64),
                mid(&all, |s| 100.0 * s.done as f64 / s.last / capacity),
            );
        }
    }
}

/// Compares leased slots with and without lending while one entry gets more
/// than its part of the requests.
pub fn skew() {
    crate::outln!("load to_one_entry% policy p50_ms p99_ms refused% goodput% messages_per_s");
    let capacity = f64::from(SLOTS) * ENDPOINTS as f64 / MEAN;
    for (load, skew) in [(0.5, 0.2), (0.5, 0.5), (0.8, 0.1), (0.8, 0.3)] {
        for policy in [Policy::LeastLocal, Policy::Leased, Policy::Lending] {
            let model = |seed| Model { skew, ..Model::new(policy, WINDOW, seed) };
            let all: Vec<Shown> =
                (1..=RUNS).map(|s| model(s).run(&[(PriorityClass::Urgent, load)], SECONDS)).collect();
            crate::outln!(
                "{load:.2} {:.0} {policy:?} {:.1} {:.1} {:.2} {:.1} {:.0}",
                100.0 * (skew + (1.0 - skew) / ENTRIES as f64),
                mid(&all, |s| s.urgent.ms(0.5)),
                mid(&all, |s| s.urgent.ms(0.99)),
                mid(&all, |s| 100.0 * s.refused as f64 / (s.refused + s.reached).max(1) as f64),
                mid(&all, |s| 100.0 * s.done as f64 / s.last / capacity),
                mid(&all, |s| s.messages as f64 / s.last),
            );
        }
    }
}

/// Compares refusing at once with waiting in a bounded queue.
pub fn front_door() {
    crate::outln!("load queue_per_entry p50_ms p99_ms refused% goodput%");
    let capacity = f64::from(SLOTS) * ENDPOINTS as f64 / MEAN;
    for load in [0.8, 0.95, 1.2] {
        for queued in [0, 3, 30, 300, 1_000] {
            let limits = DispatcherConfig { max_queued: queued, ..DispatcherConfig::default() };
            let model = |seed| Model::with_limits(Policy::Lending, WINDOW, seed, limits);
            let all: Vec<Shown> =
                (1..=RUNS).map(|s| model(s).run(&[(PriorityClass::Urgent, load)], SECONDS)).collect();
            crate::outln!(
                "{load:.2} {queued} {:.1} {:.1} {:.2} {:.1}",
                mid(&all, |s| s.urgent.ms(0.5)),
                mid(&all, |s| s.urgent.ms(0.99)),
                mid(&all, |s| 100.0 * s.refused as f64 / (s.refused + s.reached).max(1) as f64),
                mid(&all, |s| 100.0 * s.done as f64 / s.last / capacity),
            );
        }
    }
}

/// Urgent requests alone, beside a flood of normal ones, and beside long ones.
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
        let ways = [
            (Policy::Random, SLOTS),
            (Policy::LeastLocal, SLOTS),
            (Policy::Lending, SLOTS),
            (Policy::Lending, WINDOW),
            (Policy::Lending, WINDOW + 2),
        ];
        for (policy, window) in ways {
            let all = runs_with(policy, window, load);
            crate::outln!(
                "{name} {policy:?} {window} {:.1} {:.1} {:.1} {:.0} {:.0}",
                mid(&all, |s| s.urgent.ms(0.5)),
                mid(&all, |s| s.urgent.ms(0.99)),
                mid(&all, |s| s.urgent.ms(0.999)),
                mid(&all, |s| s.long.len() as f64 / s.last),
                mid(&all, |s| s.refused as f64 / s.last),
            );
        }
    }
}

/// Time of one decision, offer and end together.
pub fn decision() {
    const ROUNDS: u64 = 20_000;
    crate::outln!("endpoints ns_per_request");
    for n in [10usize, 50, 500] {
        let mut v = view(SLOTS);
        v.endpoints =
            (0..n).map(|i| Endpoint { id: format!("s/{i}"), number: i, ..v.endpoints[0].clone() }).collect();
        let times = (0..RUNS).map(|_| {
            let mut d = Dispatcher::new("dc0", DispatcherConfig::default());
            d.update(Duration::ZERO, &v, Some(0), 1);
            let now = Duration::from_secs(10);
            d.tick(now);
            let started = Instant::now();
            for t in 0..ROUNDS {
                let sent = d.submit(now, t, PriorityClass::Urgent, now * 2);
                std::hint::black_box(&sent);
                d.finish(now, t, Outcome::Success);
            }
            started.elapsed().as_nanos() as f64 / ROUNDS as f64
        });
        crate::outln!("{n} {:.0}", median(times.collect()));
    }
}
