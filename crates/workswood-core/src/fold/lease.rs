//! Duties: leases without clocks in the fold.
//!
//! A lease has a term and a count of renewals. A process that has seen no
//! renewal for the lease time, on its own clock, appends `Take` with the count
//! it saw. If the holder renewed in between, the count differs and the take is
//! void. Decisions carry the term, so those of a former holder are void from
//! the moment the take is accepted, whatever that holder still believes.

use serde::{Deserialize, Serialize};

use super::{RecordResult, Rejection, State};
use crate::ids::{Incarnation, Term};
use crate::record::{Role, RosterMember};

/// A role's lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lease {
    /// Who holds it; none after it was given up.
    pub holder: Option<Incarnation>,
    /// The holder's term.
    pub term: Term,
    /// Renewals in this term.
    pub renewals: u64,
}

impl State {
    /// The lease of a role; an empty one if nobody ever took it.
    pub fn lease(&self, role: Role) -> Lease {
        self.leases.get(&role).cloned().unwrap_or_default()
    }

    pub(super) fn holds(&self, role: Role, term: Term) -> RecordResult {
        let lease = self.lease(role);
        if lease.holder.is_some() && lease.term == term { Ok(()) } else { Err(Rejection::Term) }
    }

    pub(super) fn take(&mut self, role: Role, holder: &str, term: Term, seen: u64) -> RecordResult {
        let lease = self.lease(role);
        if term != lease.term + 1 || seen != lease.renewals {
            return Err(Rejection::Term);
        }
        let rec = Lease { holder: Some(holder.to_string()), term, renewals: 0 };
        self.leases.insert(role, rec);
        Ok(())
    }

    pub(super) fn renew(&mut self, role: Role, term: Term, from: &str) -> RecordResult {
        self.holds(role, term)?;
        let lease = self.leases.entry(role).or_default();
        if lease.holder.as_deref() != Some(from) {
            return Err(Rejection::Term);
        }
        lease.renewals += 1;
        Ok(())
    }

    pub(super) fn give_up(&mut self, role: Role, term: Term, from: &str) -> RecordResult {
        self.holds(role, term)?;
        let lease = self.leases.entry(role).or_default();
        if lease.holder.as_deref() != Some(from) {
            return Err(Rejection::Term);
        }
        lease.holder = None;
        lease.renewals += 1;
        Ok(())
    }

    pub(super) fn set_roster(&mut self, term: Term, members: &[RosterMember]) -> RecordResult {
        self.holds(Role::Planner, term)?;
        self.roster = members.to_vec();
        self.roster_generation += 1;
        Ok(())
    }
}
