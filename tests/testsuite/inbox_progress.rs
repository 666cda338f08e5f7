//! Up to when the inbox counts as read.

use std::time::Duration;

use workswood::ops::jobs::inbox_progress::{InboxProgress, InboxRead};

const WAIT: Duration = ms(1_000);

const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn read(sent: u64, answered: u64, found_records: bool) -> InboxRead {
    InboxRead { sent: ms(sent), wait: WAIT, answered: ms(answered), found_records }
}

/// LOST: the answer was made before a job was accepted, and came late; the job counted as unknown by its receipt.
#[test]
fn late_answer_counts_as_new() {
    let progress = InboxProgress::new(1);
    assert_eq!(progress.record(0, read(5_000, 6_900, false)), ms(6_000), "it waited for records until then");
    assert_eq!(progress.record(0, read(6_900, 7_500, true)), ms(6_900), "the records were there at once");
    assert_eq!(
        progress.record(0, read(7_500, 7_800, false)),
        ms(7_800),
        "no answer is newer than its receipt"
    );
}

#[test]
fn slowest_partition_counts() {
    let progress = InboxProgress::new(2);
    assert_eq!(progress.record(0, read(5_000, 6_004, false)), Duration::ZERO, "the other one was not read");
    assert_eq!(progress.record(1, read(5_500, 5_520, true)), ms(5_500));
    assert_eq!(progress.record(1, read(5_520, 6_524, false)), ms(6_000));
}
