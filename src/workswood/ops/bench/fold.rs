//! Measures the time of a fold and the bytes of state.

use std::time::Instant;

use workswood_core::fleet::{Budget, FleetFile, Host, Pool, PriorityClass, Route, Service};
use workswood_core::fold::State;
use workswood_core::record::{AttemptOutcome, Envelope, FORMAT_VERSION, Record, Role, RosterMember};

use super::quantiles::median;
use crate::ops::plan::settled_state;

/// Runs of which the median is printed.
const RUNS: usize = 5;

/// Makes a fleet file with hosts in racks of twenty over thirty data centres, and one service
/// of ten instances for every ten hosts of a pool.
pub fn fleet(hosts: usize, pools: usize) -> FleetFile {
    let host = |i: usize| Host {
        name: format!("h{i:05}"),
        data_centre: format!("dc{}", (i / 20) % 30),
        rack: format!("r{:04}", i / 20),
        cpus: 32,
        memory_gib: 128,
        accelerators: 0,
    };
    let size = |p: usize| (hosts / pools + usize::from(p < hosts % pools)) as u32;
    let pool = |p: usize| Pool {
        name: format!("pool{p}"),
        size: size(p),
        min_cpus: 0,
        min_memory_gib: 0,
        min_accelerators: 0,
    };
    let mut services = Vec::new();
    for p in 0..pools {
        for n in 0..(size(p) / 10).max(1) {
            services.push(service(p, n, 10.min(size(p))));
        }
    }
    FleetFile {
        file: "bench".to_string(),
        hosts: (0..hosts).map(host).collect(),
        pools: (0..pools).map(pool).collect(),
        services,
        ..FleetFile::default()
    }
}

fn service(pool: usize, n: u32, instances: u32) -> Service {
    Service {
        name: format!("svc-{pool}-{n}"),
        pool: format!("pool{pool}"),
        instances,
        cpus: 4,
        memory_gib: 8,
        slots: 8,
        window: 0,
        connections: 64,
        budget: Budget {
            min_available: instances - 2,
            max_unavailable_per_data_centre: None,
            reserve_rack: false,
        },
        routes: vec![Route {
            path: format!("/svc-{pool}-{n}/"),
            class: PriorityClass::Urgent,
            repeatable: true,
            deadline: std::time::Duration::from_secs(2),
        }],
    }
}

/// Prints the bytes of state by number of hosts and keys, and the time of folding records.
pub fn run() {
    crate::outln!("hosts services state_bytes bytes_per_host text_ms resident_mib_with_two_copies");
    for (hosts, pools) in [(50, 2), (500, 4), (5_000, 12), (24_000, 52)] {
        let state = settled_state(&[fleet(hosts, pools)], 1_000_000);
        let started = Instant::now();
        let bytes = state.text().len();
        let ms = started.elapsed().as_secs_f64() * 1e3;
        let copy = State::from_text(&state.text());
        let resident = resident_mib();
        crate::outln!("{hosts} {} {bytes} {} {ms:.1} {resident:.1}", state.services().count(), bytes / hosts);
        drop(copy);
    }
    crate::outln!("keys claim_and_finish_ns_per_record bytes_per_key");
    for keys in [1_000u64, 10_000, 100_000] {
        let mut bytes = 0;
        let times = (0..RUNS).map(|_| {
            let (ns, bytes_per_key) = fold_claims(keys);
            bytes = bytes_per_key;
            ns
        });
        let ns = median(times.collect());
        crate::outln!("{keys} {ns:.0} {bytes}");
    }
    crate::outln!("log_records catch_up_ms (decode and fold, 10 records an envelope)");
    for envelopes in [1_000usize, 10_000] {
        let texts = envelope_texts(envelopes);
        let times = (0..RUNS).map(|_| {
            let started = Instant::now();
            let mut state = State::default();
            for (i, text) in texts.iter().enumerate() {
                if let Ok(env) = serde_json::from_str::<Envelope>(text) {
                    state.fold(i as u64, &env);
                }
            }
            started.elapsed().as_secs_f64() * 1e3
        });
        crate::outln!("{} {:.1}", envelopes * 10, median(times.collect()));
    }
}

/// Makes a state whose only entry is `me`.
fn state_with_roster() -> State {
    let mut state = State::default();
    let member = RosterMember { id: "me".to_string(), data_centre: "dc0".to_string() };
    let records = vec![
        Record::Take { role: Role::Planner, holder: "me".to_string(), term: 1, seen_renewals: 0 },
        Record::Roster { term: 1, members: vec![member] },
    ];
    state.fold(
        0,
        &Envelope {
            format_version: FORMAT_VERSION,
            sender: "me".to_string(),
            seq: 1,
            written_at: 1,
            records,
        },
    );
    state
}

/// Returns the records that claim and finish the key with this number.
fn claim_and_finish(i: u64) -> [Record; 2] {
    let key = format!("key-{i:020}");
    let claim = Record::Claim {
        key: key.clone(),
        service: "svc".to_string(),
        digest: i,
        holder: Some("me".to_string()),
        last_moment: 10_000_000,
        deferred: None,
    };
    let outcome = AttemptOutcome::Answered { status: 200, body: Some("b2s=".to_string()) };
    [claim, Record::Finish { key, holder: "me".to_string(), outcome }]
}

/// Folds claims and finishes of `keys` keys. Returns the nanoseconds per record and the bytes of
/// state per key.
fn fold_claims(keys: u64) -> (f64, usize) {
    let mut state = state_with_roster();
    let empty = state.text().len();
    let envelopes: Vec<Envelope> = (0..keys / 10)
        .map(|e| Envelope {
            format_version: FORMAT_VERSION,
            sender: "me".to_string(),
            seq: e + 2,
            written_at: 1,
            records: (0..10).flat_map(|i| claim_and_finish(e * 10 + i)).collect(),
        })
        .collect();
    let started = Instant::now();
    for (i, env) in envelopes.iter().enumerate() {
        state.fold(i as u64 + 1, env);
    }
    let ns = started.elapsed().as_nanos() as f64 / (keys * 2) as f64;
    (ns, (state.text().len() - empty) / keys as usize)
}

/// Returns envelopes of ten records each, as JSON.
fn envelope_texts(envelopes: usize) -> Vec<String> {
    let text = |e: usize| {
        let records = (0..5).flat_map(|i| claim_and_finish((e * 5 + i) as u64)).collect();
        let env = Envelope {
            format_version: FORMAT_VERSION,
            sender: "me".to_string(),
            seq: e as u64 + 1,
            written_at: 1,
            records,
        };
        serde_json::to_string(&env).unwrap_or_default()
    };
    (0..envelopes).map(text).collect()
}

/// Returns the resident memory of this process in MiB, or 0 if it is unknown.
fn resident_mib() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|l| l.starts_with("VmRSS:")).unwrap_or_default();
    let kib: f64 = line.split_whitespace().nth(1).and_then(|n| n.parse().ok()).unwrap_or(0.0);
    kib / 1024.0
}
