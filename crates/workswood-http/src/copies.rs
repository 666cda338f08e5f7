//! Requests of which several copies may be sent, and what their answers tell together.
//!
//! The answer to one copy tells nothing about the others. A refusal is therefore final only once every copy that
//! was sent has been refused.

use std::future::Future;
use std::pin::pin;

/// What is known of the change that a request asks for, over some copies of the request. The order of the variants
/// is that in which one outweighs another.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum CopyOutcome {
    /// No copy was carried out, and none will be.
    #[default]
    NotDone,
    /// A copy may have been carried out, or may be later.
    Unknown,
    /// A copy was carried out.
    Done,
}

impl CopyOutcome {
    /// The outcome of these copies and of another one.
    #[must_use]
    pub fn with(self, other: CopyOutcome) -> CopyOutcome {
        self.max(other)
    }
}

/// The answers to two copies of a request.
#[derive(Debug)]
pub enum CopyAnswers<T> {
    /// One copy has an answer that settles the request; the other one may still be under way.
    Settled(T),
    /// Neither answer settles the request; the earlier one comes first.
    Both(T, T),
}

/// Waits for the first answer that settles a request, or for the answers to both copies.
pub async fn settle<T>(
    a: impl Future<Output = T>,
    b: impl Future<Output = T>,
    settles: impl Fn(&T) -> bool,
) -> CopyAnswers<T> {
    let (mut a, mut b) = (pin!(a), pin!(b));
    let (earlier, is_a) = tokio::select! {
        answer = &mut a => (answer, true),
        answer = &mut b => (answer, false),
    };
    if settles(&earlier) {
        return CopyAnswers::Settled(earlier);
    }
    let later = if is_a { b.await } else { a.await };
    if settles(&later) { CopyAnswers::Settled(later) } else { CopyAnswers::Both(earlier, later) }
}
