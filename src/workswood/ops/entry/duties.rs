//! Duties: leases, planning and checkpoints.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::fold::{HostRec, InstanceRec, LeaseRec, State};
use workswood_core::ids::{InstanceId, Term};
use workswood_core::member::{Liveness, MemberRec};
use workswood_core::plan::{EntryReports, HostAction, ObservedFleet, decide, missing_actions};
use workswood_core::record::{Duty, HostStep, InstanceStep, JobStep, Record, RosterMember};

use super::node::Node;
use crate::util::logs::DECISION;

/// Silence after which others take a duty.
const LEASE: Duration = Duration::from_secs(3);
/// Time between renewals.
const RENEW: Duration = Duration::from_secs(1);
/// Time between looks at leases.
const LOOK: Duration = Duration::from_millis(200);
/// Time by which each further process on the roster waits longer.
const STAGGER: Duration = Duration::from_millis(150);
/// Time between rounds of planning while something is under way.
const ROUND: Duration = Duration::from_millis(200);
/// Time between rounds while nothing is; a new record ends it. The platform's
/// list is read in each round and is large.
const IDLE_ROUND: Duration = Duration::from_secs(1);
/// Longest time that an act of a former holder may still be on its way to a
/// platform that does not fence it.
const ACT_HORIZON: Duration = Duration::from_secs(2);
/// Acts on the platform at a time.
const MOST_ACTS: usize = 32;
/// Records of one planning round in one append.
const MOST_DECIDED: usize = 512;
/// Checkpoint parts in one append.
const PARTS: usize = 4;

/// What this process has seen of one lease, and when.
struct Watch {
    lease: LeaseRec,
    since: Duration,
    renewed: Duration,
}

/// Takes free duties and renews those held, until the process ends.
pub async fn lease(node: Arc<Node>) {
    let mut watches: BTreeMap<Duty, Watch> = BTreeMap::new();
    loop {
        tokio::time::sleep(LOOK).await;
        if !node.is(&node.ready) || !node.is(&node.log_up) {
            // What was not seen is no silence of the holder.
            watches.clear();
            continue;
        }
        for duty in Duty::ALL {
            let record = look(&node, &mut watches, duty);
            if let Some(record) = record {
                let _ = node.append(vec![record]).await;
            }
        }
    }
}

fn look(node: &Node, watches: &mut BTreeMap<Duty, Watch>, duty: Duty) -> Option<Record> {
    let now = node.now();
    let (lease, place) = {
        let state = node.state.read();
        let place = state.roster.iter().position(|m| m.id == node.id).unwrap_or(state.roster.len());
        (state.lease(duty), place)
    };
    let fresh = Watch { lease: lease.clone(), since: now, renewed: Duration::ZERO };
    let w = watches.entry(duty).or_insert(fresh);
    if w.lease != lease {
        w.lease = lease.clone();
        w.since = now;
    }
    if lease.holder.as_ref() == Some(&node.id) {
        let due = now.saturating_sub(w.renewed) >= RENEW && !node.is(&node.stopping);
        if !due {
            return None;
        }
        w.renewed = now;
        return Some(Record::Renew { duty, term: lease.term });
    }
    let patience = match lease.holder {
        Some(_) => LEASE,
        None => Duration::ZERO,
    };
    let silent = now.saturating_sub(w.since) >= patience + STAGGER * place as u32;
    if !silent || node.is(&node.leaving) {
        return None;
    }
    log::info!(target: DECISION, "event=take_duty duty={duty:?} term={} reason=silence", lease.term + 1);
    Some(Record::Take { duty, holder: node.id.clone(), term: lease.term + 1, seen: lease.renewals })
}

/// The term of a duty that this process holds and has shown to hold lately.
struct Held {
    term: Term,
    renewals: u64,
    seen: Duration,
    since: Duration,
}

impl Held {
    /// Follows the lease; `None` while it is not surely held.
    fn follow(held: Option<Held>, node: &Node, duty: Duty) -> Option<Held> {
        let now = node.now();
        let lease = node.state.read().lease(duty);
        if lease.holder.as_ref() != Some(&node.id) {
            return None;
        }
        let mut h = held.filter(|h| h.term == lease.term).unwrap_or(Held {
            term: lease.term,
            renewals: lease.renewals,
            seen: now,
            since: now,
        });
        if h.renewals != lease.renewals {
            h.renewals = lease.renewals;
            h.seen = now;
        }
        Some(h)
    }

    /// Whether the last renewal is so young that nobody can have taken over.
    fn sure(&self, now: Duration) -> bool {
        now.saturating_sub(self.seen) < LEASE - RENEW / 2
    }

    /// Whether acts of a former holder are over.
    fn settled(&self, now: Duration) -> bool {
        now.saturating_sub(self.since) >= ACT_HORIZON || self.term == 1
    }
}

/// Plans while this process holds the duty, until the process ends.
pub async fn plan(node: Arc<Node>) {
    let mut held: Option<Held> = None;
    let mut folded = node.folded.subscribe();
    let mut idle = false;
    loop {
        tokio::time::sleep(ROUND).await;
        if idle {
            let _ = tokio::time::timeout(IDLE_ROUND, folded.changed()).await;
        }
        held = Held::follow(held, &node, Duty::Planner);
        let Some(h) = held.as_ref().filter(|h| h.sure(node.now())) else { continue };
        let Ok(seen) = node.platform.hosts().await else { continue };
        let records = round(&node, &seen, h.term);
        folded.mark_unchanged();
        idle = records.is_empty() && !node.state.read().hosts.values().any(HostRec::away);
        if !records.is_empty() {
            log_decisions(&records);
            if node.append(records).await.is_err() {
                continue;
            }
        }
        held = Held::follow(held, &node, Duty::Planner);
        let Some(h) = held.as_ref().filter(|h| h.sure(node.now()) && h.settled(node.now())) else { continue };
        idle &= !act(&node, &seen, h.term).await;
    }
}

/// One round of deciding; pure but for reading what the node shares.
fn round(node: &Node, seen: &ObservedFleet, term: Term) -> Vec<Record> {
    let facts = facts(node);
    let now = node.wall();
    let state = node.state.read();
    let roster = roster(node, &state, term);
    let mut records = decide(&state, seen, &facts, now, term);
    records.truncate(MOST_DECIDED);
    records.extend(roster);
    records
}

fn facts(node: &Node) -> EntryReports {
    let (own, draining) = {
        let state = node.state.read();
        let away = |i: &InstanceRec| state.hosts.get(&i.host).is_some_and(|h| h.away());
        let draining: Vec<InstanceId> =
            state.instances.iter().filter(|(_, i)| away(i)).map(|(id, _)| id.clone()).collect();
        (state.next, draining)
    };
    let mut in_flight = super::lanes::open_on(node, &draining);
    let members = node.members.lock();
    let others: Vec<&MemberRec> = members.present().filter(|m| m.beat.id != node.id).collect();
    let confirmed = others.iter().map(|m| m.beat.next).fold(own, u64::min);
    let views = node.peer_views.lock();
    for view in others.iter().filter_map(|m| views.get(&m.beat.address)) {
        for (id, n) in &view.open {
            *in_flight.entry(id.clone()).or_default() += n;
        }
    }
    EntryReports { folded_by_all: confirmed, in_flight }
}

/// The roster that should be in force, if it differs from the one that is.
fn roster(node: &Node, state: &State, term: Term) -> Option<Record> {
    let members = node.members.lock();
    let known = |id: &str| state.roster.iter().any(|m| m.id == id);
    // Suspects stay if they are on it, but do not come on it.
    let fits = |m: &&MemberRec| {
        let b = &m.beat;
        !b.stopping && (m.liveness == Liveness::Alive || (m.liveness == Liveness::Suspect && known(&b.id)))
    };
    let mut want: Vec<RosterMember> = members
        .iter()
        .filter(fits)
        .map(|m| RosterMember { id: m.beat.id.clone(), data_centre: m.beat.data_centre.clone() })
        .collect();
    want.sort();
    let differs = want != state.roster && !want.is_empty();
    if differs {
        *node.proposed.lock() = want.iter().map(|m| m.id.clone()).collect();
    }
    differs.then_some(Record::Roster { term, members: want })
}

/// Carries out what the list shows to be missing; true if that was anything.
async fn act(node: &Arc<Node>, seen: &ObservedFleet, term: Term) -> bool {
    let wanted = missing_actions(&node.state.read(), seen);
    for chunk in wanted.chunks(MOST_ACTS) {
        let still = node.state.read().lease(Duty::Planner);
        if still.term != term || still.holder.as_ref() != Some(&node.id) {
            break;
        }
        let calls = chunk.iter().map(|a| call(node, a));
        futures::future::join_all(calls).await;
    }
    !wanted.is_empty()
}

async fn call(node: &Node, a: &HostAction) {
    node.metrics.acts.inc();
    match node.platform.act(a).await {
        Ok(()) => log::info!(target: DECISION, "event=act host={} act={a:?}", a.host()),
        // The list will show whether it had its effect.
        Err(e) => log::warn!("event=act_unanswered host={} act={a:?} error={e:?}", a.host()),
    }
}

fn log_decisions(records: &[Record]) {
    for r in records {
        match r {
            Record::Host { host, step, .. } if !matches!(step, HostStep::Seen { .. }) => {
                log::info!(target: DECISION, "event=host host={host} step={step:?}");
            }
            Record::Instance {
                instance,
                step: step @ (InstanceStep::Place { .. } | InstanceStep::Remove),
                ..
            } => {
                log::info!(target: DECISION, "event=place instance={instance} step={step:?}");
            }
            Record::Job { job, step, .. } => {
                let why = match step {
                    JobStep::Start { .. } => "free_capacity",
                    JobStep::Preempt => "urgent_job",
                    JobStep::End { .. } => "list",
                    JobStep::Lost => "host_gone",
                };
                log::info!(target: DECISION, "event=job job={job} step={step:?} reason={why}");
            }
            Record::Roster { members, .. } => {
                log::info!(target: DECISION, "event=roster members={}", members.len());
            }
            _ => {}
        }
    }
}

/// Checkpoints while this process holds the duty, until the process ends.
pub async fn checkpoint(node: Arc<Node>) {
    let every = node.settings.checkpoint_every;
    let mut written = 0;
    let mut held: Option<Held> = None;
    loop {
        tokio::time::sleep(every).await;
        held = Held::follow(held, &node, Duty::Checkpointer);
        let Some(h) = &held else { continue };
        let next = node.state.read().next;
        if next == written || !node.is(&node.log_up) {
            continue;
        }
        if write_checkpoint(&node, h.term).await {
            written = node.state.read().next;
        }
    }
}

async fn write_checkpoint(node: &Arc<Node>, term: Term) -> bool {
    let Ok(marked) = node.append(vec![Record::Mark { term }]).await else { return false };
    if marked.verdicts != [Ok(())] {
        return false;
    }
    let parts = node.state.read().checkpoint();
    node.state.write().forget_mark_text();
    let count = parts.len();
    for chunk in parts.chunks(PARTS) {
        if node.append(chunk.to_vec()).await.is_err() {
            return false;
        }
    }
    log::info!("event=checkpoint upto={} parts={count}", marked.offset);
    count > 0
}

/// Gives up all duties that this process holds.
pub async fn give_up(node: &Arc<Node>) {
    for duty in Duty::ALL {
        let lease = node.state.read().lease(duty);
        if lease.holder.as_ref() == Some(&node.id) {
            let _ = node.append(vec![Record::GiveUp { duty, term: lease.term }]).await;
        }
    }
}
