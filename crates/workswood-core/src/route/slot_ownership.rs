//! Assignment of the slots of an endpoint to the entries on the roster.
//!
//! Slot `j` of endpoint `i` belongs to roster member `(i * slots + j) mod members`.
//! Over the endpoints of a service the members' shares differ by at most one slot.
//! Every process computes the same result from the roster in the log.

/// Number of slots of endpoint number `endpoint` that roster member number `member` owns.
pub fn owned_slots(slots: u32, endpoint: usize, member: usize, members: usize) -> u32 {
    if members == 0 || member >= members {
        return 0;
    }
    let first = endpoint * slots as usize;
    let is_owned = |j: &usize| (first + j) % members == member;
    (0..slots as usize).filter(is_owned).count() as u32
}
