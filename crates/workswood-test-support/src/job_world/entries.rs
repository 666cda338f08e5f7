//! Entries at which two owners hand in jobs under the same numbers, and hand them in again.
//!
//! Entries decide by the real [`SubmittedNumbers`] and [`NumberUse`]. Their store refuses jobs, takes them and gives no
//! answer, or takes them late; holders read what it has taken with a delay; callers lose answers and try again at any entry.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use workswood::ops::jobs::submitted_numbers::{NumberUse, OwnJob, SubmittedNumbers};
use workswood_core::jobs::{Event, JobNumber, JobSpec};
use workswood_platform::jobs::CopyOutcome;

use super::second_owner::{OtherOwner, number_of, second_key};
use super::{FaultRng, STEP, World};

/// Number of entries.
const ENTRIES: usize = 3;
/// First number under which jobs are handed in here.
const FIRST_NUMBER: JobNumber = 3_000;
/// How often a caller hands a job in at most.
const TRIES: u32 = 6;
/// Longest time until a caller tries again, until the store answers, and until it carries out a late append, in milliseconds.
const RETRY_MS: u64 = 1_500;
const STORE_MS: u64 = 400;
const LATE_MS: u64 = 6_000;
/// Longest delay with which holders read the inbox, in milliseconds.
const READ_MS: u64 = 900;
/// An entry is replaced in one of so many steps.
const REPLACED_ONE_IN: u64 = 200;
/// How long an entry waits until a holder has read the inbox.
const CHECK_TIMEOUT: Duration = Duration::from_millis(1_500);

/// What the store does with a record.
#[derive(Clone, Copy, Debug)]
enum StoreFate {
    Done,
    Refused,
    /// It gives no answer, and takes the record after this time.
    Late(Duration),
    /// It gives no answer, and does nothing.
    Lost,
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Told {
    Accepted,
    NumberTaken,
    Refused,
    Unknown,
}

/// Where a hand-in is.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// It begins at this time.
    Waiting(Duration),
    /// Its number is checked since then; the other entries have told this much.
    Check(Duration, CopyOutcome),
    /// The store answers at this time.
    Store(Duration, StoreFate),
}

/// One hand-in.
#[derive(Clone, Debug)]
struct HandIn {
    key: JobNumber,
    spec: Arc<JobSpec>,
    entry: usize,
    tries_left: u32,
    /// Whether the caller is there to hear the answer.
    is_heard: bool,
    /// What is known of earlier hand-ins of the job.
    earlier: CopyOutcome,
    stage: Stage,
}

impl HandIn {
    /// Whether it has reached this entry.
    fn is_at(&self, entry: usize) -> bool {
        self.entry == entry && !matches!(self.stage, Stage::Waiting(_))
    }
}

/// A record that the store takes later.
struct LateRecord {
    at: Duration,
    /// The entry that sent it.
    entry: usize,
    key: JobNumber,
    spec: Arc<JobSpec>,
}

/// The entries.
pub(super) struct Entries {
    numbers: Vec<SubmittedNumbers>,
    hand_ins: Vec<HandIn>,
    late: Vec<LateRecord>,
    /// What callers were told last, by job.
    told: BTreeMap<JobNumber, Told>,
    /// Delay with which holders read the inbox.
    read_delay: Duration,
    next_number: JobNumber,
    rng: FaultRng,
}

impl Entries {
    pub(super) fn new(mut rng: FaultRng) -> Entries {
        Entries {
            numbers: (0..ENTRIES).map(|_| SubmittedNumbers::default()).collect(),
            hand_ins: Vec::new(),
            late: Vec::new(),
            told: BTreeMap::new(),
            read_delay: Duration::from_millis(rng.below(READ_MS)),
            next_number: FIRST_NUMBER,
            rng,
        }
    }

    fn draw_ms(&mut self, most: u64) -> Duration {
        Duration::from_millis(self.rng.below(most))
    }

    fn draw_entry(&mut self) -> usize {
        self.rng.below(ENTRIES as u64) as usize
    }

    /// A hand-in at any entry, with the one that follows at another time if its answer is lost.
    fn begin(&mut self, key: JobNumber, spec: Arc<JobSpec>, at: Duration, tries_left: u32) {
        let is_heard = tries_left == 0 || self.rng.below(3) > 0;
        let entry = self.draw_entry();
        if !is_heard {
            // An entry that has not read a hand-in yet knows nothing of it.
            let again = at + STEP + self.draw_ms(RETRY_MS);
            self.begin(key, spec.clone(), again, tries_left - 1);
        }
        let (earlier, stage) = (CopyOutcome::NotDone, Stage::Waiting(at));
        self.hand_ins.push(HandIn { key, spec, entry, tries_left, is_heard, earlier, stage });
    }

    /// Gives the record of a hand-in to the store.
    fn give_to_store(&mut self, hand_in: &mut HandIn, now: Duration) {
        let answered = now + self.draw_ms(STORE_MS);
        hand_in.stage = Stage::Store(answered, self.draw_fate());
    }

    fn draw_fate(&mut self) -> StoreFate {
        match self.rng.below(8) {
            0..=4 => StoreFate::Done,
            5 => StoreFate::Refused,
            6 => StoreFate::Late(self.draw_ms(LATE_MS)),
            _ => StoreFate::Lost,
        }
    }
}

impl World {
    /// Has callers hand in jobs at entries, some under a number that another owner uses too. What they are told has to
    /// be true.
    #[must_use]
    pub fn with_entries(mut self) -> World {
        let rng = self.rng.stream(super::fault_rng::Stream::HandIns);
        self.entries = Some(Entries::new(rng));
        self
    }

    /// Has callers hand in a job under a new number, and in most cases another owner's one under the same number.
    pub fn hand_in(&mut self, spec: JobSpec, other: JobSpec) {
        let now = self.now;
        let Some(entries) = &mut self.entries else { return };
        let number = entries.next_number;
        entries.next_number += 1;
        entries.begin(number, Arc::new(spec), now, TRIES);
        if entries.rng.below(4) > 0 {
            let later =
                if entries.rng.below(2) == 0 { Duration::ZERO } else { entries.draw_ms(RETRY_MS * 2) };
            entries.begin(
                second_key(number),
                Arc::new(OtherOwner::Workspace.spec(other)),
                now + later,
                TRIES,
            );
        }
    }

    /// Jobs whose callers were told last that they are accepted.
    pub fn accepted(&self) -> Vec<JobNumber> {
        let told = self.entries.iter().flat_map(|entries| &entries.told);
        told.filter(|(_, told)| **told == Told::Accepted).map(|(key, _)| *key).collect()
    }

    /// Runs the entries for one step.
    pub(super) fn run_entries(&mut self) {
        let Some(mut entries) = self.entries.take() else { return };
        let now = self.now;
        self.take_late_records(&mut entries, |record| record.at <= now);
        if entries.rng.below(REPLACED_ONE_IN) == 0 {
            self.replace_entry(&mut entries);
        }
        for mut hand_in in std::mem::take(&mut entries.hand_ins) {
            match self.advance(&mut entries, &mut hand_in) {
                Some(told) => self.tell(&mut entries, &hand_in, told),
                None => entries.hand_ins.push(hand_in),
            }
        }
        let read_at = now + entries.read_delay;
        self.holders.iter_mut().for_each(|h| h.enqueue_event(read_at, Event::InboxRead(now)));
        self.entries = Some(entries);
    }

    fn take_late_records(&mut self, entries: &mut Entries, is_due: impl Fn(&LateRecord) -> bool) {
        let (due, late): (Vec<_>, Vec<_>) = std::mem::take(&mut entries.late).into_iter().partition(is_due);
        entries.late = late;
        due.into_iter().for_each(|record| self.take_record(entries, record.key, record.spec));
    }

    /// Replaces an entry by one that knows nothing. What it has sent reaches the store before that or never, since nobody
    /// could know of it afterwards. Its callers get no answer.
    fn replace_entry(&mut self, entries: &mut Entries) {
        let n = entries.draw_entry();
        self.take_late_records(entries, |record| record.entry == n);
        entries.numbers[n] = SubmittedNumbers::default();
        let (gone, others): (Vec<_>, Vec<_>) =
            std::mem::take(&mut entries.hand_ins).into_iter().partition(|hand_in| hand_in.is_at(n));
        entries.hand_ins = others;
        for hand_in in gone {
            if let Stage::Store(_, StoreFate::Done) = hand_in.stage {
                self.take_record(entries, hand_in.key, hand_in.spec.clone());
            }
            if hand_in.is_heard && hand_in.tries_left > 0 {
                let at = self.now + STEP + entries.draw_ms(RETRY_MS);
                entries.begin(hand_in.key, hand_in.spec, at, hand_in.tries_left - 1);
            }
        }
    }

    /// Advances a hand-in; returns what its caller is told once it is over.
    fn advance(&mut self, entries: &mut Entries, hand_in: &mut HandIn) -> Option<Told> {
        let now = self.now;
        let (job, at) = (hand_in.spec.key(number_of(hand_in.key)), hand_in.entry);
        let service = hand_in.spec.service.clone();
        match hand_in.stage {
            Stage::Waiting(begins) if begins > now => None,
            Stage::Waiting(_) => {
                let earlier = entries.numbers[at].begin(job, &service, now);
                let others = entries.numbers.iter().enumerate().filter(|(n, _)| *n != at);
                let at_entries = others.map(|(_, known)| known.outcome(job)).max().unwrap_or_default();
                let Some(number_use) = NumberUse::of_earlier(earlier) else {
                    hand_in.stage = Stage::Check(now, at_entries);
                    return None;
                };
                self.follow(entries, hand_in, number_use)
            }
            Stage::Check(since, at_entries) => {
                if !entries.numbers[at].is_other_owners(job, &service) && !self.is_number_known(job.number) {
                    return self.follow(entries, hand_in, NumberUse::Free);
                }
                let own = self.own_job(hand_in.key, now - since);
                if own == OwnJob::Unclear && now < since + CHECK_TIMEOUT {
                    return None;
                }
                self.follow(entries, hand_in, NumberUse::of_taken(at_entries, own))
            }
            Stage::Store(answered, _) if answered > now => None,
            Stage::Store(_, fate) => Some(self.answer_of_store(entries, hand_in, fate)),
        }
    }

    /// Does what follows from the use of a number; returns what the caller is told if nothing is to be stored.
    fn follow(&self, entries: &mut Entries, hand_in: &mut HandIn, number_use: NumberUse) -> Option<Told> {
        let (outcome, told) = match number_use {
            NumberUse::Free | NumberUse::PerhapsOwn => {
                if number_use == NumberUse::PerhapsOwn {
                    hand_in.earlier = CopyOutcome::Unknown;
                }
                entries.give_to_store(hand_in, self.now);
                return None;
            }
            NumberUse::Accepted => (CopyOutcome::Done, Told::Accepted),
            NumberUse::Taken => (CopyOutcome::NotDone, Told::NumberTaken),
            NumberUse::Unclear => (CopyOutcome::NotDone, Told::Unknown),
        };
        Some(told_of(settle(entries, hand_in, outcome)).unwrap_or(told))
    }

    fn answer_of_store(&mut self, entries: &mut Entries, hand_in: &HandIn, fate: StoreFate) -> Told {
        let outcome = match fate {
            StoreFate::Done => {
                self.take_record(entries, hand_in.key, hand_in.spec.clone());
                CopyOutcome::Done
            }
            StoreFate::Refused => CopyOutcome::NotDone,
            StoreFate::Late(after) => {
                let (at, key, spec) = (self.now + after, hand_in.key, hand_in.spec.clone());
                entries.late.push(LateRecord { at, entry: hand_in.entry, key, spec });
                CopyOutcome::Unknown
            }
            StoreFate::Lost => CopyOutcome::Unknown,
        };
        let known = settle(entries, hand_in, outcome).with(hand_in.earlier);
        let refused = || match self.own_job(hand_in.key, Duration::ZERO) {
            OwnJob::Known => Told::Accepted,
            OwnJob::NotStored | OwnJob::Unclear => Told::Refused,
        };
        told_of(known).unwrap_or_else(refused)
    }

    /// Tells a caller, who tries again if it learned nothing.
    fn tell(&mut self, entries: &mut Entries, hand_in: &HandIn, told: Told) {
        if !hand_in.is_heard {
            return;
        }
        let is_repeat = hand_in.tries_left < TRIES;
        self.seen.taken_numbers += u64::from(told == Told::NumberTaken);
        self.seen.accepted_repeats +=
            u64::from(is_repeat && told == Told::Accepted && self.is_shared(hand_in.key));
        if told == Told::NumberTaken && self.jobs.contains_key(&hand_in.key) {
            self.note_untrue(hand_in.key, "is stored, and was refused since its number is another owner's");
        }
        if told == Told::Refused && self.own_job(hand_in.key, Duration::ZERO) == OwnJob::Known {
            self.note_untrue(hand_in.key, "is known to the holder, and was refused by the store");
        }
        let known = entries.told.entry(hand_in.key).or_insert(told);
        if *known != Told::Accepted {
            *known = told;
        }
        if told == Told::Unknown && hand_in.tries_left > 0 {
            let at = self.now + entries.draw_ms(RETRY_MS);
            entries.begin(hand_in.key, hand_in.spec.clone(), at, hand_in.tries_left - 1);
        }
    }

    /// Has the store take the record of a job. Holders read it with the delay.
    fn take_record(&mut self, entries: &Entries, key: JobNumber, spec: Arc<JobSpec>) {
        if entries.told.get(&key) == Some(&Told::NumberTaken) {
            self.note_untrue(key, "is stored after it was refused since its number is another owner's");
        }
        self.enqueue_submission_after(entries.read_delay, key, spec);
    }

    fn note_untrue(&mut self, key: JobNumber, what: &str) {
        let now = self.now;
        self.seen.violations.push(format!("REFUSED: job {key} {what}, at {now:?}"));
    }

    /// Whether jobs of both owners are stored under the number of a job.
    fn is_shared(&self, key: JobNumber) -> bool {
        let number = number_of(key);
        self.jobs.contains_key(&number) && self.jobs.contains_key(&second_key(number))
    }

    /// Whether the latest holder that is awake shows a job of any owner under a number.
    fn is_number_known(&self, number: JobNumber) -> bool {
        [number, second_key(number)].into_iter().any(|key| self.own_job(key, Duration::ZERO) == OwnJob::Known)
    }

    /// What the latest holder knows of a job, asked so long after the hand-in came.
    fn own_job(&self, key: JobNumber, asked_after: Duration) -> OwnJob {
        let Some(holder) = self.holders.last().filter(|h| h.paused_until <= self.now) else {
            return OwnJob::Unclear;
        };
        let is_known = holder.shown.get(&key).is_some_and(|update| update.state.is_some());
        let read_at = holder.shown_inbox_read_at;
        let inbox_age = (!read_at.is_zero()).then(|| self.now - read_at);
        OwnJob::of(is_known, inbox_age, asked_after)
    }
}

/// What a caller is told of a job that is stored, or may be.
fn told_of(known: CopyOutcome) -> Option<Told> {
    match known {
        CopyOutcome::NotDone => None,
        CopyOutcome::Unknown => Some(Told::Unknown),
        CopyOutcome::Done => Some(Told::Accepted),
    }
}

/// Settles a hand-in at its entry; returns what is known over all hand-ins of the job there.
fn settle(entries: &mut Entries, hand_in: &HandIn, outcome: CopyOutcome) -> CopyOutcome {
    let job = hand_in.spec.key(number_of(hand_in.key));
    entries.numbers[hand_in.entry].settle(job, outcome)
}
