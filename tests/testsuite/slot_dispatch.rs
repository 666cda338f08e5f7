//! Dispatchers of several entries share slots, queues and health.

use std::collections::BTreeMap;
use std::time::Duration;

use arbtest::arbtest;
use workswood_core::code::Code;
use workswood_core::fleet::PriorityClass;
use workswood_core::invariant;
use workswood_core::route::{
    Action, Dispatcher, DispatcherConfig, Endpoint, Loan, Outcome, ServiceView, SlotDemand, owned_slots,
};

const ENTRIES: usize = 3;
const WINDOW: u32 = 5;

fn view(endpoints: usize) -> ServiceView {
    let endpoint = |i: usize| Endpoint {
        id: format!("s/{i}"),
        number: i,
        address: format!("{i}"),
        host: format!("h{i}"),
        data_centre: format!("dc{}", i % 2),
        open: true,
    };
    ServiceView { slots_per_endpoint: WINDOW, endpoints: (0..endpoints).map(endpoint).collect() }
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn alone(endpoints: usize) -> Dispatcher {
    let mut d = Dispatcher::new("dc0", DispatcherConfig::default());
    d.update(ms(0), &view(endpoints), Some(0), 1);
    d.tick(ms(5_000));
    d
}

fn sent(actions: &[Action]) -> Vec<(u64, String)> {
    let send = |a: &Action| match a {
        Action::Send { request_id, endpoint, .. } => Some((*request_id, endpoint.clone())),
        _ => None,
    };
    actions.iter().filter_map(send).collect()
}

#[test]
fn even_shares() {
    for members in 1..=8 {
        for slots in [1, 8, 10] {
            for number in 0..20 {
                let all = (0..members).map(|m| owned_slots(slots, number, m, members));
                assert_eq!(all.sum::<u32>(), slots);
            }
            let of = |m| (0..20).map(|n| owned_slots(slots, n, m, members)).sum::<u32>();
            let shares: Vec<u32> = (0..members).map(of).collect();
            assert!(shares.iter().max() <= shares.iter().min().map(|n| n + 1).as_ref(), "{shares:?}");
        }
    }
}

#[test]
fn never_over_window() {
    let mut lent = 0u64;
    for i in 0..300 {
        arbtest(|u| {
            let mut all: Vec<Dispatcher> = (0..ENTRIES)
                .map(|i| Dispatcher::new(&format!("dc{i}"), DispatcherConfig::default()))
                .collect();
            let mut now = ms(0);
            for (i, d) in all.iter_mut().enumerate() {
                d.update(now, &view(2), Some(i), ENTRIES);
            }
            let mut open: Vec<(usize, u64)> = Vec::new();
            let mut ticket = 0;
            for _ in 0..80 {
                now += ms(u.int_in_range(0..=60u64)?);
                let e = u.choose_index(ENTRIES)?;
                let actions = match u.int_in_range(0..=5u8)? {
                    0..=1 => {
                        ticket += 1;
                        let class = *u.choose(&PriorityClass::ALL)?;
                        all[e].submit(now, ticket, class, now + ms(900))
                    }
                    2 if !open.is_empty() => {
                        let (e, t) = open.swap_remove(u.choose_index(open.len())?);
                        let outcome = *u.choose(&[Outcome::Success, Outcome::Failure, Outcome::Neutral])?;
                        let actions = all[e].finish(now, t, outcome);
                        open.extend(sent(&actions).iter().map(|(t, _)| (e, *t)));
                        actions.into_iter().filter(|a| !matches!(a, Action::Send { .. })).collect()
                    }
                    3 => {
                        let from = (e + 1) % ENTRIES;
                        let want = SlotDemand { slots: u.int_in_range(1..=4u32)? };
                        let loans = all[from].lend(now, &e.to_string(), want);
                        lent += loans.len() as u64;
                        let loans = loans.into_iter().map(|l| Loan { peer: from.to_string(), ..l }).collect();
                        all[e].accept_loans(now, loans)
                    }
                    4 => {
                        // Loans in use are confirmed, as entries do.
                        let used: Vec<(String, u64)> =
                            all[e].borrowed_loans().map(|l| (l.peer.clone(), l.id)).collect();
                        for (peer, id) in used {
                            let lender: usize = peer.parse().expect("a number");
                            all[lender].loans_confirmed(now, &e.to_string(), &[id]);
                        }
                        all[e].tick(now)
                    }
                    _ => Vec::new(),
                };
                let mut left = actions;
                let mut at = e;
                while let Some(a) = left.pop() {
                    match a {
                        Action::Send { request_id, .. } => open.push((at, request_id)),
                        Action::ReturnLoan(l) => {
                            at = l.peer.parse().expect("a number");
                            left.extend(all[at].loan_returned(now, l.id));
                        }
                        Action::Refuse { .. } => {}
                    }
                }
                let mut used: BTreeMap<String, u32> = BTreeMap::new();
                for d in &all {
                    for (id, n) in d.in_flight_by_endpoint() {
                        *used.entry(id.clone()).or_default() += n;
                    }
                }
                assert!(used.values().all(|n| *n <= WINDOW), "{used:?}");
            }
            Ok(())
        })
        .seed((900 + i) << 32 | 4_096);
    }
    assert!(lent > 100, "only {lent} slots were lent");
    assert_eq!(invariant::failed_checks(), 0, "{:?}", invariant::first_failure());
}

#[test]
fn cancelled_wave() {
    let mut d = alone(2);
    let now = ms(6_000);
    let mut running = Vec::new();
    for t in 0..10_000 {
        running.extend(sent(&d.submit(now, t, PriorityClass::Urgent, ms(900_000))));
    }
    assert_eq!(running.len(), 10);
    for t in 0..10_000 {
        if !d.cancel(t) {
            d.finish(now, t, Outcome::Neutral);
        }
    }
    assert_eq!((d.queued_count(), d.in_flight_count()), (0, 0));
    assert!(d.in_flight_by_endpoint().all(|(_, n)| n == 0));
}

#[test]
fn classes_in_turn() {
    let mut d = alone(4);
    let now = ms(6_000);
    let ticket = std::cell::Cell::new(0);
    let offer = |d: &mut Dispatcher, class| {
        ticket.set(ticket.get() + 1);
        (ticket.get(), !sent(&d.submit(now, ticket.get(), class, ms(100_000))).is_empty())
    };
    let normal = (0..40).filter(|_| offer(&mut d, PriorityClass::Normal).1).count();
    assert!(normal < 20, "a flood of normal requests took all {normal} slots");
    assert!(offer(&mut d, PriorityClass::Urgent).1, "no slot was left for an urgent request");
    // All slots are taken; the next one goes to a class below its share.
    let (mut urgent, mut d) = (0, alone(4));
    while offer(&mut d, PriorityClass::Urgent).1 {
        urgent += 1;
    }
    assert_eq!(urgent, 20, "urgent requests may take every slot");
    let (long, started) = offer(&mut d, PriorityClass::Long);
    assert!(!started);
    let first = long - 21;
    let next = sent(&d.finish(now, first, Outcome::Success));
    assert_eq!(next.first().map(|n| n.0), Some(long));
}

#[test]
fn early_refusal() {
    let mut d = alone(1);
    let now = ms(6_000);
    let refused =
        (0..2_000).find_map(|t| match d.submit(now, t, PriorityClass::Urgent, now + ms(40)).first() {
            Some(Action::Refuse { code, retry_after, .. }) => Some((*code, *retry_after)),
            _ => None,
        });
    let (code, after) = refused.expect("the wait can't be met");
    assert_eq!(code, Code::WaitTooLong);
    assert!(after >= ms(40), "{after:?}");
    // A longer queue adds waiting and no answers.
    let full =
        (2_000..4_000).find_map(|t| match d.submit(now, t, PriorityClass::Urgent, now + ms(9_000)).first() {
            Some(Action::Refuse { code, .. }) => Some(*code),
            _ => None,
        });
    assert_eq!((full, d.queued_count()), (Some(Code::QueueFull), 16));
    let late = d.tick(now + ms(9_000));
    assert!(late.iter().any(|a| matches!(a, Action::Refuse { code: Code::DeadlinePassed, .. })));
    assert_eq!(d.queued_count(), 0);
}

#[test]
fn retry_share() {
    let mut d = alone(4);
    let now = ms(6_000);
    let mut retries = 0;
    for t in 0..10_000u64 {
        d.submit(now, t, PriorityClass::Urgent, ms(100_000));
        d.finish(now, t, Outcome::Failure);
        if d.retry(now, 100_000 + t, PriorityClass::Urgent, ms(100_000), &[]).is_some() {
            retries += 1;
            d.finish(now, 100_000 + t, Outcome::Failure);
            d.cancel(100_000 + t);
        }
    }
    assert!((900..=1_010).contains(&retries), "{retries} retries for 10,000 first tries");
}

#[test]
fn failing_endpoint() {
    let mut d = alone(10);
    let mut now = ms(6_000);
    let mut to_bad = 0;
    for t in 0..2_000u64 {
        now += ms(1);
        for (t, e) in sent(&d.submit(now, t, PriorityClass::Urgent, now + ms(1_000))) {
            // One of this data centre, which gets most while all are idle.
            to_bad += u64::from(e == "s/4");
            let outcome = if e == "s/4" { Outcome::Failure } else { Outcome::Success };
            d.finish(now + ms(if e == "s/4" { 0 } else { 5 }), t, outcome);
        }
    }
    assert!((3..20).contains(&to_bad), "{to_bad} of 2,000 went to the endpoint that fails fast");
}

/// A probe whose caller leaves tells nothing of its endpoint, which is probed again.
#[test]
fn probe_without_result() {
    let mut d = alone(10);
    let mut now = ms(6_000);
    let mut id = 0;
    let mut send_all = |d: &mut Dispatcher, now: Duration, bad: Outcome| {
        id += 1;
        let sends = sent(&d.submit(now, id, PriorityClass::Urgent, now + ms(1_000)));
        for (request, endpoint) in &sends {
            d.finish(now, *request, if endpoint == "s/4" { bad } else { Outcome::Success });
        }
        sends.iter().any(|(_, endpoint)| endpoint == "s/4")
    };
    for _ in 0..200 {
        now += ms(1);
        send_all(&mut d, now, Outcome::Failure);
    }
    now += ms(1_000);
    let probed = (0..200).any(|_| send_all(&mut d, now, Outcome::Neutral));
    assert!(probed, "the ejected endpoint is probed after its back-off");
    now += ms(1_000);
    let probed_again = (0..200).any(|_| send_all(&mut d, now, Outcome::Success));
    assert!(probed_again, "the endpoint is left out for good");
}

#[test]
fn shared_trouble() {
    let mut d = alone(9);
    let mut now = ms(6_000);
    for t in 0..900u64 {
        now += ms(1);
        for (t, _) in sent(&d.submit(now, t, PriorityClass::Urgent, now + ms(1_000))) {
            d.finish(now, t, Outcome::Failure);
        }
    }
    // All fail: at most a third is left out, the rest still gets work.
    let mut got = std::collections::BTreeSet::new();
    for t in 1_000..1_100u64 {
        got.extend(
            sent(&d.submit(now, t, PriorityClass::Urgent, now + ms(1_000))).into_iter().map(|(_, e)| e),
        );
    }
    assert!(got.len() >= 6, "only {got:?} get work");
}
