//! Until when holders of earlier terms may still give workers full leases. What they extend after that ends no
//! later.
//!
//! A holder gives full leases, itself or through relays, for a time after it sent its last renewal, which the
//! record tells. What was sent before a record was read here is over that long after the
//! reading, and a claim is carried out only if the topic still ends with the last record that was read.
//! The store refuses renewals of earlier terms once it has seen one of the new term; those that it took
//! between the claim and that one are read before it, so the bound holds once that one is read.
//!
//! A claim alone tells nothing if it doesn't tell a time: its version counts from when it read it. A claim that
//! tells one grants nothing itself, and tells what is left of holders before it. The release of
//! a holder whose scheduler had ended may tell a shorter time, which counts from its reading too. All
//! times are on the clock of this process, which goes on while its host is suspended.
//!
//! A writer that has ended ([`RecordFacts::writer_ended`]) extends nothing any more. This is certain of a former life
//! of this process: it had bound the address that this process has bound since, in the same network stack, and kept it
//! until its last thread was gone ([`bound_address`](crate::util::bound_address)). A frozen process keeps it.
//! The end of a lease is worked out before the order is sent, as an absolute time on the
//! worker's clock, so what the writer had sent gives no lease beyond a full one from this process's binding, however
//! late it arrives, to the life of the worker that it was meant for
//! ([`ended_incarnations`](workswood_core::jobs::ended_incarnations) for a later one). What is left then is what others may give: holders before the writer, and its
//! relays in other processes, to which it grants no more than its records tell.

use std::time::Duration;

use workswood_core::ids::Term;

use super::lease_renewal::EXTENSION_GRACE;

/// The term of a claim that is carried out only if the topic of the lease is empty: nobody has held it before.
const FIRST_TERM: Term = 1;

/// What a record of the lease tells.
#[derive(Clone, Copy, Debug)]
pub struct RecordFacts {
    /// Term of its writer.
    pub term: Term,
    /// Whether it releases the lease.
    pub released: bool,
    /// How long after sending it its writer and holders before it may give full leases; `None` if it is of a
    /// version that doesn't tell.
    pub grace: Option<Duration>,
    /// How long after sending it anybody but the process that wrote it may give full leases; `None` if it is of a
    /// version that doesn't tell.
    pub others_grace: Option<Duration>,
    /// Whether the process that wrote it has ended.
    pub writer_ended: bool,
    /// How long anybody may still extend leases under the term or an earlier one.
    pub extensions_left: Option<Duration>,
}

impl RecordFacts {
    /// How long after its reading its writer and holders before it may give full leases at most.
    pub fn longest_grace(&self) -> Duration {
        let others = self.others_grace.filter(|_| self.writer_ended);
        others.or(self.grace).unwrap_or(EXTENSION_GRACE)
    }
}

/// A claim of this process.
#[derive(Clone, Copy, Debug)]
struct OwnClaim {
    term: Term,
    /// Until when holders of earlier terms may give full leases; `None` if that is not known.
    extended_until: Option<Duration>,
    /// Whether a renewal of the claimed term was read.
    renewal_read: bool,
}

/// Bounds of the grants of all terms whose records were read.
#[derive(Debug, Default)]
pub struct EarlierGrants {
    /// Highest term that was read.
    term: Option<Term>,
    /// Until when the holders of the terms read so far may give full leases, if they write nothing more;
    /// `None` if that is not known.
    extended_until: Option<Duration>,
    /// Until when any holder whose records were read may do so, as far as renewals tell.
    renewed_until: Duration,
    claim: Option<OwnClaim>,
}

impl EarlierGrants {
    /// Notes a record that is read for the first time.
    pub fn note_record(&mut self, rec: RecordFacts, now: Duration) {
        self.renewed_until = self.renewed_until.max(now + rec.longest_grace());
        let by_reading = self.renewed_until;
        // Compares the record with the term that was read before it.
        self.note_record_after_claim(rec.term, by_reading);
        let (begins_term, is_late) = match self.term {
            None => (true, false),
            Some(term) => (term < rec.term, rec.term < term),
        };
        self.term = self.term.max(Some(rec.term));
        self.extended_until = match (rec.released, rec.extensions_left) {
            _ if is_late => self.extended_until.map(|_| by_reading),
            (true, Some(left)) => {
                self.renewed_until = now + left;
                Some(now + left)
            }
            (false, _) if begins_term && rec.grace.is_none() => None,
            (true, None) | (false, _) => Some(by_reading),
        };
    }

    /// Notes a record that can't be read.
    pub fn note_unknown_record(&mut self) {
        self.extended_until = None;
        self.claim = None;
    }

    /// Notes a record that follows the claim of this process, if that was carried out.
    fn note_record_after_claim(&mut self, term: Term, by_reading: Duration) {
        let last_term = self.term;
        let Some(claim) = self.claim.as_mut().filter(|c| last_term == Some(c.term)) else { return };
        if term < claim.term && !claim.renewal_read {
            claim.extended_until = claim.extended_until.map(|until| until.max(by_reading));
        }
        claim.renewal_read |= term == claim.term;
    }

    /// How long holders whose records were read may still give full leases after a claim of a term, if they write
    /// nothing more; `None` if that is not known.
    pub fn left(&self, term: Term, now: Duration) -> Option<Duration> {
        self.extended_before(term).map(|until| until.saturating_sub(now))
    }

    /// Until when holders before a term may give full leases, if they write nothing more; `None` if that is not known.
    fn extended_before(&self, term: Term) -> Option<Duration> {
        if term == FIRST_TERM { Some(Duration::ZERO) } else { self.extended_until }
    }

    /// Notes that this process is about to claim a term. A repeated claim has the same term.
    pub fn note_claim(&mut self, term: Term) {
        if self.claim.is_none_or(|c| c.term != term) {
            let extended_until = self.extended_before(term);
            self.claim = Some(OwnClaim { term, extended_until, renewal_read: false });
        }
    }

    /// Until when holders before the term, which this process holds, may give full leases; `None` until that
    /// is certain.
    pub fn extended_until(&self, term: Term) -> Option<Duration> {
        let certain = |c: &OwnClaim| c.renewal_read || term == FIRST_TERM;
        self.claim.filter(|c| c.term == term && certain(c))?.extended_until
    }
}
