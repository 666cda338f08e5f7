//! Which entry process owns which slots of an endpoint.
//!
//! The roster in the log names the processes. Slot `j` of endpoint `i` belongs
//! to member `(i * slots + j) mod members`, so that shares differ by at most
//! one slot over a service, and every process computes the same answer.

/// Slots of endpoint number `endpoint` that member number `member` owns.
pub fn owned_slots(slots: u32, endpoint: usize, member: usize, members: usize) -> u32 {
    if members == 0 || member >= members {
        return 0;
    }
    let first = endpoint * slots as usize;
    let mine = |j: &usize| (first + j) % members == member;
    (0..slots as usize).filter(mine).count() as u32
}
