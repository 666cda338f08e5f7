//! The roles of planner and checkpointer, each of which one process at a time holds by a lease.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use workswood_core::fold::{Lease, ManagedHost, PlacedInstance, State};
use workswood_core::ids::{InstanceId, Term};
use workswood_core::membership::{Liveness, Member};
use workswood_core::plan::{EntryReports, HostAction, ObservedFleet, decide, missing_actions};
use workswood_core::record::{HostChange, InstanceChange, JobChange, Record, Role, RosterMember};

use super::node::Node;
use crate::util::logs::DECISION_TARGET;

/// Time without a renewal after which another process may take a role over.
const LEASE_TIMEOUT: Duration = Duration::from_secs(3);
/// Time between renewals of a lease.
const RENEW_INTERVAL: Duration = Duration::from_secs(1);
/// Time between checks of the leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Additional wait before a takeover for each place on the roster, so that processes do not compete.
const TAKEOVER_STAGGER: Duration = Duration::from_millis(150);
/// Time between planning rounds.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Longest additional wait between planning rounds while there is nothing to do; a new log record ends
/// it. Each round reads the platform's list of hosts, which is large.
const IDLE_PLAN_DELAY: Duration = Duration::from_secs(1);
/// Longest time that an action of a former planner may still be in flight to a platform that does not
/// check fencing tokens.
const MAX_ACTION_DELAY: Duration = Duration::from_secs(2);
/// Maximum number of concurrent actions on the platform.
const MAX_CONCURRENT_ACTIONS: usize = 32;
/// Maximum number of decisions of one planning round.
const MAX_ROUND_DECISIONS: usize = 512;
/// Number of checkpoint parts in one append.
const PARTS_PER_APPEND: usize = 4;

/// A lease as this process last saw it. Times are since the start of the process.
struct ObservedLease {
    lease: Lease,
    changed_at: Duration,
    /// When this process last renewed the lease.
    renewed_at: Duration,
}

/// Takes free roles and renews those held, until the process ends.
pub async fn run_leases(node: Arc<Node>) {
    let mut observed: BTreeMap<Role, ObservedLease> = BTreeMap::new();
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        if !node.is_set(&node.ready) || !node.is_set(&node.log_up) {
            // While the log is not read, a lease that seems unchanged says nothing about its holder.
            observed.clear();
            continue;
        }
        for role in Role::ALL {
            let record = lease_record(&node, &mut observed, role);
            if let Some(record) = record {
                let _ = node.append(vec![record]).await;
            }
        }
    }
}

/// Returns the record that renews a lease of this process or takes over an expired one, if it is time.
fn lease_record(node: &Node, observed: &mut BTreeMap<Role, ObservedLease>, role: Role) -> Option<Record> {
    let now = node.now();
    let (lease, roster_place) = {
        let state = node.state.read();
        let roster_place = state.roster.iter().position(|m| m.id == node.id).unwrap_or(state.roster.len());
        (state.lease(role), roster_place)
    };
    let first = ObservedLease { lease: lease.clone(), changed_at: now, renewed_at: Duration::ZERO };
    let seen = observed.entry(role).or_insert(first);
    if seen.lease != lease {
        seen.lease = lease.clone();
        seen.changed_at = now;
    }
    if lease.holder.as_ref() == Some(&node.id) {
        let due = now.saturating_sub(seen.renewed_at) >= RENEW_INTERVAL && !node.is_set(&node.callers_done);
        if !due {
            return None;
        }
        seen.renewed_at = now;
        return Some(Record::Renew { role, term: lease.term });
    }
    let timeout = match lease.holder {
        Some(_) => LEASE_TIMEOUT,
        None => Duration::ZERO,
    };
    let expired = now.saturating_sub(seen.changed_at) >= timeout + TAKEOVER_STAGGER * roster_place as u32;
    if !expired || node.is_set(&node.shutting_down) {
        return None;
    }
    log::info!(target: DECISION_TARGET, "event=take_duty duty={role:?} term={} reason=silence", lease.term + 1);
    Some(Record::Take { role, holder: node.id.clone(), term: lease.term + 1, seen_renewals: lease.renewals })
}

/// A lease that this process holds. Times are since the start of the process.
struct HeldLease {
    term: Term,
    renewals: u64,
    /// When this process folded the last renewal.
    renewal_seen_at: Duration,
    /// When this process first saw that it holds the lease in this term.
    held_since: Duration,
}

impl HeldLease {
    /// Updates what is known of the lease; `None` if this process does not hold it.
    fn refresh(held: Option<HeldLease>, node: &Node, role: Role) -> Option<HeldLease> {
        let now = node.now();
        let lease = node.state.read().lease(role);
        if lease.holder.as_ref() != Some(&node.id) {
            return None;
        }
        let mut held = held.filter(|h| h.term == lease.term).unwrap_or(HeldLease {
            term: lease.term,
            renewals: lease.renewals,
            renewal_seen_at: now,
            held_since: now,
        });
        if held.renewals != lease.renewals {
            held.renewals = lease.renewals;
            held.renewal_seen_at = now;
        }
        Some(held)
    }

    /// Whether the last renewal is so recent that no other process can have taken the role over. This
    /// process may notice a renewal later than other processes do, so that their timeout ends earlier; half
    /// a renewal interval is left for that.
    fn is_unexpired(&self, now: Duration) -> bool {
        now.saturating_sub(self.renewal_seen_at) < LEASE_TIMEOUT - RENEW_INTERVAL / 2
    }

    /// Whether no action of a former holder can still be in flight.
    fn former_actions_ended(&self, now: Duration) -> bool {
        now.saturating_sub(self.held_since) >= MAX_ACTION_DELAY || self.term == 1
    }
}

/// Plans and acts on the platform while this process is the planner, until the process ends.
pub async fn run_planner(node: Arc<Node>) {
    let mut held: Option<HeldLease> = None;
    let mut next_offset = node.next_offset.subscribe();
    let mut idle = false;
    loop {
        tokio::time::sleep(PLAN_INTERVAL).await;
        if idle {
            let _ = tokio::time::timeout(IDLE_PLAN_DELAY, next_offset.changed()).await;
        }
        held = HeldLease::refresh(held, &node, Role::Planner);
        let Some(lease) = held.as_ref().filter(|h| h.is_unexpired(node.now())) else { continue };
        let Ok(observed) = node.platform.hosts().await else { continue };
        let records = plan_round(&node, &observed, lease.term);
        next_offset.mark_unchanged();
        idle = records.is_empty() && !node.state.read().hosts.values().any(ManagedHost::out_of_service);
        if !records.is_empty() {
            log_decisions(&records);
            if node.append(records).await.is_err() {
                continue;
            }
        }
        held = HeldLease::refresh(held, &node, Role::Planner);
        let Some(lease) =
            held.as_ref().filter(|h| h.is_unexpired(node.now()) && h.former_actions_ended(node.now()))
        else {
            continue;
        };
        idle &= !perform_actions(&node, &observed, lease.term).await;
    }
}

/// Decides on one round of planning from the state, the platform's list and the peers' reports.
fn plan_round(node: &Node, observed: &ObservedFleet, term: Term) -> Vec<Record> {
    let reports = collect_reports(node);
    let now = node.wall();
    let state = node.state.read();
    let roster = roster_change(node, &state, term);
    let mut records = decide(&state, observed, &reports, now, term);
    records.truncate(MAX_ROUND_DECISIONS);
    records.extend(roster);
    records
}

/// Collects the offset that all processes have folded, and the requests in flight to instances on hosts
/// out of service.
fn collect_reports(node: &Node) -> EntryReports {
    let (own_next, instances) = {
        let state = node.state.read();
        let is_affected = |i: &PlacedInstance| state.hosts.get(&i.host).is_some_and(|h| h.out_of_service());
        let instances: Vec<InstanceId> =
            state.instances.iter().filter(|(_, i)| is_affected(i)).map(|(id, _)| id.clone()).collect();
        (state.next_offset, instances)
    };
    let mut in_flight = super::dispatch::in_flight_to(node, &instances);
    let members = node.members.lock();
    let others: Vec<&Member> = members.present().filter(|m| m.heartbeat.id != node.id).collect();
    let folded_by_all = others.iter().map(|m| m.heartbeat.next_offset).fold(own_next, u64::min);
    let peer_reports = node.peer_reports.lock();
    for report in others.iter().filter_map(|m| peer_reports.get(&m.heartbeat.address)) {
        for (id, n) in &report.in_flight {
            *in_flight.entry(id.clone()).or_default() += n;
        }
    }
    EntryReports { folded_by_all, in_flight }
}

/// Returns the record of a new roster if the eligible members differ from the roster in force, and stores
/// that roster as the proposed one.
fn roster_change(node: &Node, state: &State, term: Term) -> Option<Record> {
    let members = node.members.lock();
    let on_roster = |id: &str| state.roster.iter().any(|m| m.id == id);
    // Suspected members stay on the roster but are not added to it.
    let eligible = |m: &&Member| {
        let beat = &m.heartbeat;
        !beat.stopping
            && (m.liveness == Liveness::Alive || (m.liveness == Liveness::Suspect && on_roster(&beat.id)))
    };
    let mut wanted: Vec<RosterMember> = members
        .iter()
        .filter(eligible)
        .map(|m| RosterMember { id: m.heartbeat.id.clone(), data_centre: m.heartbeat.data_centre.clone() })
        .collect();
    wanted.sort();
    let differs = wanted != state.roster && !wanted.is_empty();
    if differs {
        *node.proposed_roster.lock() = wanted.iter().map(|m| m.id.clone()).collect();
    }
    differs.then_some(Record::Roster { term, members: wanted })
}

/// Performs the actions that the platform's list shows to be outstanding; returns whether there were any.
async fn perform_actions(node: &Arc<Node>, observed: &ObservedFleet, term: Term) -> bool {
    let outstanding = missing_actions(&node.state.read(), observed);
    for chunk in outstanding.chunks(MAX_CONCURRENT_ACTIONS) {
        let lease = node.state.read().lease(Role::Planner);
        if lease.term != term || lease.holder.as_ref() != Some(&node.id) {
            break;
        }
        let calls = chunk.iter().map(|action| perform_action(node, action));
        futures::future::join_all(calls).await;
    }
    !outstanding.is_empty()
}

async fn perform_action(node: &Node, action: &HostAction) {
    node.metrics.platform_actions.inc();
    match node.platform.act(action).await {
        Ok(()) => log::info!(target: DECISION_TARGET, "event=act host={} act={action:?}", action.host()),
        // A later round finds from the platform's list whether the action took effect.
        Err(e) => log::warn!("event=act_unanswered host={} act={action:?} error={e:?}", action.host()),
    }
}

fn log_decisions(records: &[Record]) {
    for record in records {
        match record {
            Record::Host { host, change: step, .. } if !matches!(step, HostChange::Seen { .. }) => {
                log::info!(target: DECISION_TARGET, "event=host host={host} step={step:?}");
            }
            Record::Instance {
                instance,
                change: step @ (InstanceChange::Place { .. } | InstanceChange::Remove),
                ..
            } => {
                log::info!(target: DECISION_TARGET, "event=place instance={instance} step={step:?}");
            }
            Record::Job { job, change: step, .. } => {
                let reason = match step {
                    JobChange::Start { .. } => "free_capacity",
                    JobChange::Preempt => "urgent_job",
                    JobChange::End { .. } => "list",
                    JobChange::Lost => "host_gone",
                };
                log::info!(target: DECISION_TARGET, "event=job job={job} step={step:?} reason={reason}");
            }
            Record::Roster { members, .. } => {
                log::info!(target: DECISION_TARGET, "event=roster members={}", members.len());
            }
            _ => {}
        }
    }
}

/// Writes checkpoints while this process is the checkpointer, until the process ends.
pub async fn run_checkpointer(node: Arc<Node>) {
    let interval = node.settings.checkpoint_every;
    let mut checkpointed_next = 0;
    let mut held: Option<HeldLease> = None;
    loop {
        tokio::time::sleep(interval).await;
        held = HeldLease::refresh(held, &node, Role::Checkpointer);
        let Some(lease) = &held else { continue };
        let next = node.state.read().next_offset;
        if next == checkpointed_next || !node.is_set(&node.log_up) {
            continue;
        }
        if write_checkpoint(&node, lease.term).await {
            checkpointed_next = node.state.read().next_offset;
        }
    }
}

/// Marks an offset of the log and appends the state at it in parts; returns whether it was written whole.
async fn write_checkpoint(node: &Arc<Node>, term: Term) -> bool {
    let Ok(marked) = node.append(vec![Record::Mark { term }]).await else { return false };
    if marked.verdicts != [Ok(())] {
        return false;
    }
    let parts = node.state.read().checkpoint();
    node.state.write().drop_checkpoint_text();
    let count = parts.len();
    for chunk in parts.chunks(PARTS_PER_APPEND) {
        if node.append(chunk.to_vec()).await.is_err() {
            return false;
        }
    }
    log::info!("event=checkpoint upto={} parts={count}", marked.offset);
    count > 0
}

/// Releases all roles that this process holds.
pub async fn release_all(node: &Arc<Node>) {
    for role in Role::ALL {
        let lease = node.state.read().lease(role);
        if lease.holder.as_ref() == Some(&node.id) {
            let _ = node.append(vec![Record::GiveUp { role, term: lease.term }]).await;
        }
    }
}
