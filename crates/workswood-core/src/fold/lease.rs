//! Leases on roles, without clocks in the fold.
//!
//! A lease has a term and a count of renewals. A process that has seen no renewal
//! for the lease time, by its own clock, appends [`Take`](crate::record::Record::Take) with the count it saw. If
//! the holder renewed in the meantime, the counts differ and the record is
//! rejected. Decisions carry the term as a fencing token: once a `Take` is
//! accepted, all further decisions of the former holder are rejected.

use serde::{Deserialize, Serialize};

use super::{RecordResult, Rejection, State};
use crate::ids::{Incarnation, Term};
use crate::record::{Role, RosterMember};

/// The lease on a role.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// The holder; none after the lease was released.
    pub holder: Option<Incarnation>,
    /// The holder's term.
    pub term: Term,
    /// Renewals in this term.
    pub renewals: u64,
}

impl State {
    /// The lease on a role; an empty one if it was never acquired.
    pub fn lease(&self, role: Role) -> Lease {
        self.leases.get(&role).cloned().unwrap_or_default()
    }

    /// Checks that `term` is the current one of a lease that is held.
    pub(super) fn check_term(&self, role: Role, term: Term) -> RecordResult {
        let lease = self.lease(role);
        if lease.holder.is_some() && lease.term == term { Ok(()) } else { Err(Rejection::Term) }
    }

    /// Acquires the lease if `term` is the next one and the new holder has seen all
    /// renewals.
    pub(super) fn acquire_lease(
        &mut self,
        role: Role,
        holder: &str,
        term: Term,
        seen_renewals: u64,
    ) -> RecordResult {
        let lease = self.lease(role);
        if term != lease.term + 1 || seen_renewals != lease.renewals {
            return Err(Rejection::Term);
        }
        let acquired = Lease { holder: Some(holder.to_string()), term, renewals: 0 };
        self.leases.insert(role, acquired);
        Ok(())
    }

    /// Counts a renewal by the holder.
    pub(super) fn renew_lease(&mut self, role: Role, term: Term, sender: &str) -> RecordResult {
        self.check_term(role, term)?;
        let lease = self.leases.entry(role).or_default();
        if lease.holder.as_deref() != Some(sender) {
            return Err(Rejection::Term);
        }
        lease.renewals += 1;
        Ok(())
    }

    /// Releases the lease on behalf of its holder.
    pub(super) fn release_lease(&mut self, role: Role, term: Term, sender: &str) -> RecordResult {
        self.check_term(role, term)?;
        let lease = self.leases.entry(role).or_default();
        if lease.holder.as_deref() != Some(sender) {
            return Err(Rejection::Term);
        }
        lease.holder = None;
        lease.renewals += 1;
        Ok(())
    }

    /// Replaces the roster.
    pub(super) fn set_roster(&mut self, term: Term, members: &[RosterMember]) -> RecordResult {
        self.check_term(Role::Planner, term)?;
        self.roster = members.to_vec();
        self.roster_generation += 1;
        Ok(())
    }
}
