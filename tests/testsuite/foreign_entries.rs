//! Entries in the list of workers that another writer made, or that can't be read.

use std::sync::Arc;
use std::time::Duration;

use serde_json::{Value, json};
use workswood::ops::jobs::topic_reader::TopicUpdate;
use workswood::ops::jobs::worker_list::WorkerList;
use workswood_adapter::{Addresses, PlatformClient};
use workswood_adapter_standin::{MachinesStandin, StoreStandin};
use workswood_core::jobs::spec::Resources;
use workswood_core::jobs::{Action, Event, JobKey, StepSpec};
use workswood_platform::jobs::{JobPlatform, KeyedRecord, Topic};
use workswood_test_support::host_world::{HostWorld, worker};
use workswood_test_support::job_world::{config, job, step};

fn client(store: &str) -> PlatformClient {
    PlatformClient::new(Addresses { store: store.into(), machines: store.into(), adviser: None })
}

/// An entry as workers write it.
fn entry() -> Value {
    json!({
        "backend": "desk", "address": "127.0.0.1:8405", "zone": "north", "version": "v1", "slots": 8,
        "state": "ready", "cold_remaining_ms": 0, "seq": 1, "machine": "m-1",
        "capacity": {"cpu": 4000, "mem_mb": 8000, "gpus": 0}, "labels": ["a", "r1"],
    })
}

fn is_read(value: &[u8]) -> bool {
    let value = Some(value.to_vec().into());
    client("127.0.0.1:9").parse_worker_info(&KeyedRecord { key: "i-1".to_string(), value }).is_ok()
}

#[test]
fn whole_entry() {
    assert!(is_read(entry().to_string().as_bytes()));
    let mut later = entry();
    later["unheard_of"] = json!({"any": [1, 2]});
    assert!(is_read(later.to_string().as_bytes()), "fields may be added");
    let mut leaving = entry();
    leaving["state"] = json!("draining");
    leaving["remaining_ms"] = json!(1500);
    assert!(is_read(leaving.to_string().as_bytes()));
}

#[test]
fn start_that_is_told() {
    for (started, is_good) in [
        (json!(1_764_700_000_000_u64), true),
        (json!(0), true),
        (json!(-1), false),
        (json!(1.5), false),
        (json!(1.0e12), false),
        (json!("1764700000000"), false),
        (json!([1]), false),
        (Value::Null, false),
    ] {
        let mut e = entry();
        e["born"] = started.clone();
        assert_eq!(is_read(e.to_string().as_bytes()), is_good, "{started}");
    }
}

#[test]
fn field_missing() {
    for field in ["backend", "address", "zone", "state", "capacity", "labels", "seq"] {
        let mut e = entry();
        e.as_object_mut().expect("an object").remove(field);
        assert!(!is_read(e.to_string().as_bytes()), "without `{field}`");
    }
    for field in ["cpu", "mem_mb"] {
        let mut e = entry();
        e["capacity"].as_object_mut().expect("an object").remove(field);
        assert!(!is_read(e.to_string().as_bytes()), "without `capacity.{field}`");
    }
}

#[test]
fn field_of_another_type() {
    let wrong = [json!(7), json!("text"), json!([1]), json!({"a": 1}), json!(null), json!(true)];
    for (field, good) in entry().as_object().expect("an object") {
        let alike = |w: &&Value| std::mem::discriminant(*w) != std::mem::discriminant(good);
        for w in wrong.iter().filter(alike) {
            let mut e = entry();
            e[field] = w.clone();
            assert!(!is_read(e.to_string().as_bytes()), "`{field}` as {w}");
        }
    }
}

#[test]
fn value_that_means_nothing() {
    let cases = [
        ("state", json!("resting")),
        ("state", json!("")),
        ("address", json!("nowhere")),
        ("address", json!("127.0.0.1")),
        ("address", json!("127.0.0.1:0")),
        ("backend", json!("")),
        ("zone", json!("")),
        ("capacity", json!({"cpu": -1, "mem_mb": 10})),
        ("labels", json!([1, 2])),
    ];
    for (field, value) in cases {
        let mut e = entry();
        e[field] = value.clone();
        assert!(!is_read(e.to_string().as_bytes()), "`{field}` as {value}");
    }
}

/// Amounts that no host has would be summed up, and draw all work.
#[test]
fn capacity_that_no_host_has() {
    let huge = [json!(1e30), json!(1e308), json!(u64::MAX), json!(1e12)];
    for (field, value) in ["cpu", "mem_mb", "gpus"].iter().flat_map(|f| huge.iter().map(move |v| (f, v))) {
        let mut e = entry();
        e["capacity"][*field] = value.clone();
        assert!(!is_read(e.to_string().as_bytes()), "`{field}` as {value}");
    }
    let mut large = entry();
    large["capacity"] = json!({"cpu": 512_000, "mem_mb": 16 << 20, "gpus": 16});
    assert!(is_read(large.to_string().as_bytes()), "a large host");
}

#[test]
fn number_out_of_range() {
    for (field, value) in [("seq", json!(1e300)), ("born", json!(u64::MAX)), ("slots", json!(1e300))] {
        let mut e = entry();
        e[field] = value.clone();
        assert!(!is_read(e.to_string().as_bytes()), "`{field}` as {value}");
    }
    let text = entry().to_string();
    for number in ["1e999", "-1e999", "1e-999e", "99999999999999999999999999999999"] {
        let odd = text.replace("\"seq\":1", &format!("\"seq\":{number}"));
        assert!(odd != text && !is_read(odd.as_bytes()), "{number}");
    }
}

#[test]
fn port_out_of_range() {
    for port in ["0", "-1", "65536", "99999", "18446744073709551616", "8405x", ""] {
        let mut e = entry();
        e["address"] = json!(format!("127.0.0.1:{port}"));
        assert!(!is_read(e.to_string().as_bytes()), "port {port}");
    }
}

#[test]
fn deeply_nested_entry() {
    let text = entry().to_string();
    for depth in [200, 100_000] {
        for (open, close) in [("[", "]"), ("{\"a\":", "}")] {
            let nested = format!("{}1{}", open.repeat(depth), close.repeat(depth));
            let odd = text.replace("\"seq\":1", &format!("\"seq\":1,\"later\":{nested}"));
            assert!(!is_read(odd.as_bytes()), "{depth} of {open}");
            assert!(!is_read(nested.as_bytes()), "{depth} of {open} alone");
        }
    }
}

/// A text that is stored with a worker's record could exceed what the store takes.
#[test]
fn text_without_end() {
    let long = "x".repeat(1 << 20);
    for field in ["backend", "zone", "machine", "version", "state", "address"] {
        let mut e = entry();
        e[field] = json!(long);
        assert!(!is_read(e.to_string().as_bytes()), "`{field}`");
    }
    for labels in [json!([long]), json!(vec!["a"; 100_000])] {
        let mut e = entry();
        e["labels"] = labels;
        assert!(!is_read(e.to_string().as_bytes()), "labels");
    }
}

#[test]
fn error_of_bounded_length() {
    let mut e = entry();
    e["state"] = json!("x".repeat(1 << 20));
    let rec = KeyedRecord { key: "i-1".to_string(), value: Some(e.to_string().into()) };
    let error = client("127.0.0.1:9").parse_worker_info(&rec).expect_err("an unknown state");
    assert!(error.len() < 200, "{} bytes", error.len());
}

/// The name of a worker is part of keys in the state and of log lines.
#[test]
fn name_that_is_no_word() {
    let c = client("127.0.0.1:9");
    let is_read = |key: &str| {
        let value = Some(entry().to_string().into());
        c.parse_worker_info(&KeyedRecord { key: key.to_string(), value }).is_ok()
    };
    assert!(is_read("i-8f29bd56"));
    for key in ["", "i 1", "i-1\nlevel=info", "i-\u{7}", "\u{202e}i", &"i".repeat(250)] {
        assert!(!is_read(key), "{key:?}");
    }
}

/// A worker between odd entries, and one whose entry changes back and forth, are followed all the same.
#[test]
fn page_of_odd_entries() {
    let c = client("127.0.0.1:9");
    let mut list = WorkerList::default();
    let odd = ["{", "[1]", "{\"seq\":1e999}", &"[".repeat(100_000), "\"text\""];
    let mut world = HostWorld::new(1);
    for round in 0..20 {
        let mut records: Vec<KeyedRecord> = (0..500)
            .map(|n| KeyedRecord {
                key: format!("odd-{n}"),
                value: Some(odd[n % odd.len()].to_string().into()),
            })
            .collect();
        let text = if round % 2 == 0 { entry().to_string() } else { odd[round % odd.len()].to_string() };
        records.insert(250, KeyedRecord { key: "i-1".to_string(), value: Some(text.into()) });
        let events = list.apply(TopicUpdate::Changes(records), |r| c.parse_worker_info(r));
        match (&events[..], round % 2) {
            ([Event::WorkerListed(info)], 0) => assert_eq!(info.id.name(), "i-1"),
            ([Event::WorkerUnlisted(id)], 1) => assert_eq!(id.name(), "i-1"),
            other => panic!("round {round}: {other:?}"),
        }
        events.into_iter().for_each(|ev| world.sched.handle(ev));
        world.at(1000 + 150 * round as u64);
        world.tick();
    }
}

/// Jobs may ask for any amount, and their amounts are summed up too.
#[test]
fn job_without_bounds() {
    let mut world = HostWorld::new(2);
    world.report(0, 0, &[]);
    let mut endless = step(3, vec![]);
    endless.resources = Resources { cpu_millis: u64::MAX, mem_mb: u64::MAX, gpus: u64::MAX };
    let again = StepSpec { depends_on: vec![0], ..endless.clone() };
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![endless.clone()], 100))));
    world.sched.handle(Event::Submitted(2, Arc::new(job(vec![endless, again], 100))));
    world.sched.handle(Event::Submitted(3, Arc::new(job(vec![step(1, vec![])], 100))));
    let mut started = Vec::new();
    for ms in (250..2000).step_by(150) {
        world.at(ms);
        started.extend(world.tick());
    }
    let is_third = |a: &Action| matches!(a, Action::Start { task, .. } if task.job == JobKey::of_number(3));
    assert!(started.iter().any(is_third), "{started:?}");
}

/// A row of the list of hosts that can't be read hides no others.
#[tokio::test]
async fn odd_row_among_hosts() {
    let odd = [
        json!({"machine": "m-2", "pool": "desk"}),
        json!({"machine": "m-3", "pool": "desk", "state": "up", "capacity": {"cpu": 1e30}}),
        json!([1]),
        Value::Null,
    ];
    let machines = MachinesStandin::start_with_odd_rows("desk", &["m-1", "m-4"], &odd).await;
    let address = machines.address.to_string();
    let c = PlatformClient::new(Addresses { store: address.clone(), machines: address, adviser: None });
    let hosts = c.list_hosts().await.expect("the others are read");
    let names: Vec<&str> = hosts.iter().map(|h| h.name.as_str()).collect();
    assert_eq!(names, ["m-1", "m-4"]);
}

#[test]
fn no_text_at_all() {
    for value in [&b"\xff\xfe\x00\x01"[..], b"", b"{", b"[]", b"null", b"12", b"\"text\""] {
        assert!(!is_read(value), "{value:?}");
    }
}

#[tokio::test]
async fn others_are_read() {
    let store = StoreStandin::start().await;
    let c = client(&store.address.to_string());
    let good = entry().to_string();
    store.enter_worker("i-1", &good);
    store.enter_raw(b"i-\xff\xfe", good.as_bytes());
    store.enter_raw(b"i-2", b"\xff\xfe\x00");
    store.enter_worker("i-3", &good);
    let tail = c.tail(Topic::Workers, 0, Duration::ZERO).await.expect("the others are read");
    let read = |key: &str, records: &[KeyedRecord]| {
        records.iter().any(|r| r.key == key && c.parse_worker_info(r).is_ok())
    };
    assert!(read("i-1", &tail.records) && read("i-3", &tail.records), "{:?}", tail.records);
    assert!(!read("i-2", &tail.records));
    // The one that has no readable name counts all the same.
    assert_eq!(tail.next, 4);
    let newest = c.latest(Topic::Workers).await.expect("the others are read");
    assert!(read("i-1", &newest.records) && read("i-3", &newest.records), "{:?}", newest.records);
}

#[test]
fn service_that_is_not_named() {
    let mut world = HostWorld::new(1);
    let mut other = worker(7, 0);
    other.service = "unheard-of".to_string();
    world.sched.handle(Event::WorkerListed(other.clone()));
    let watched = |actions: &[Action]| {
        actions.iter().any(|a| matches!(a, Action::StartPolling { info, .. } if info.id == other.id))
    };
    assert!(!watched(&world.sched.assign_relays()), "nobody speaks with it");
    assert!(!world.sched.workers.contains_key(&other.id));
    // A configuration that names the service makes it one to use.
    let mut cfg = config();
    cfg.version = 2;
    let mut service = cfg.services.values().next().expect("a service").clone();
    service.name.clone_from(&other.service);
    cfg.services.insert(other.service.clone(), service);
    world.sched.handle(Event::ConfigChanged(Arc::new(cfg)));
    assert!(watched(&world.sched.assign_relays()));
}

#[test]
fn service_no_longer_named_in_its_entry() {
    let mut world = HostWorld::new(1);
    let mut changed = worker(0, 0);
    changed.service = "unheard-of".to_string();
    world.sched.handle(Event::WorkerListed(changed));
    let w = world.sched.workers.get(&worker(0, 0).id);
    assert!(w.is_none_or(|w| !w.accepts_work()), "its entry names no worker to use");
}

#[test]
fn entry_that_becomes_unreadable() {
    let c = client("127.0.0.1:9");
    let rec = |value: &str| KeyedRecord { key: "i-1".to_string(), value: Some(value.to_string().into()) };
    let mut list = WorkerList::default();
    let mut take =
        |value: &str| list.apply(TopicUpdate::Changes(vec![rec(value)]), |r| c.parse_worker_info(r));
    let good = entry().to_string();
    assert!(matches!(take(&good)[..], [Event::WorkerListed(_)]));
    assert!(matches!(take("{")[..], [Event::WorkerUnlisted(_)]));
    assert!(take("{").is_empty());
    assert!(matches!(take(&good)[..], [Event::WorkerListed(_)]));
}
