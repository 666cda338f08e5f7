//! Calls to the store of which several copies are made.

use std::future::Future;

use workswood_http::{CopyAnswers, settle};

use crate::jobs::StoreError;

/// Whether an answer settles a call, whatever becomes of other copies of it.
pub fn is_settled<T>(res: &Result<T, StoreError>) -> bool {
    match res {
        Ok(_) | Err(StoreError::Rejected { .. } | StoreError::GuardFailed | StoreError::RecordsGone) => true,
        Err(StoreError::NotDone { .. } | StoreError::Unknown { .. }) => false,
    }
}

/// Waits for an answer that settles a call of which two copies are made, or else for both answers.
pub async fn first_settled<T>(
    a: impl Future<Output = Result<T, StoreError>>,
    b: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    match settle(a, b, is_settled).await {
        CopyAnswers::Settled(res) => res,
        CopyAnswers::Both(earlier, later) => combined(earlier, later),
    }
}

/// The answer to two copies of a call of which the earlier one is not settled: a settled one, or else one that
/// leaves open whether the call was carried out if either does.
pub fn combined<T>(earlier: Result<T, StoreError>, later: Result<T, StoreError>) -> Result<T, StoreError> {
    match (&earlier, &later) {
        (Err(a), Err(b)) if !is_settled(&later) && a.outcome() > b.outcome() => earlier,
        _ => later,
    }
}
