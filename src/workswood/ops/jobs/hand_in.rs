//! Takes a job of a caller: checks its number, has the lease holder weigh it, and stores it.
//!
//! A caller that is refused takes the job for one that never runs. A hand-in is therefore refused only if no earlier one of
//! the same job is known to be stored, or to be perhaps stored.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use workswood_adapter::record_size;
use workswood_callers::HeldBytes;
use workswood_core::jobs::{JobKey, JobNumber, JobSpec, SchedConfig, Verdict};
use workswood_platform::jobs::CopyOutcome;

use super::inbox::Stored;
use super::node::Node;
use super::number_check::HandInUnderWay;
use super::record::job_record;
use super::submitted_numbers::NumberUse;
use super::{admission_control, number_check};

/// What became of a hand-in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HandIn {
    /// Whether the job is stored, by this hand-in or an earlier one.
    Settled(Stored),
    /// A job of another owner has its number; nothing was stored.
    NumberTaken,
    /// Its record is larger than the store takes; nothing was stored.
    TooLarge,
    /// Tasks of its queue can't be started, by the configuration of the queue; nothing was stored.
    AdviceUnusable,
    /// It could not be done in time; nothing was stored.
    NoRoom {
        /// When its caller should try again.
        retry_after: Duration,
    },
}

impl HandIn {
    /// What an answer that is given without the store says of earlier hand-ins.
    fn stored_before(self) -> CopyOutcome {
        match self {
            HandIn::Settled(Stored::Yes) => CopyOutcome::Done,
            HandIn::Settled(Stored::No | Stored::Unknown)
            | HandIn::NumberTaken
            | HandIn::TooLarge
            | HandIn::AdviceUnusable
            | HandIn::NoRoom { .. } => CopyOutcome::NotDone,
        }
    }

    /// Label in metrics.
    fn label(self) -> &'static str {
        match self {
            HandIn::Settled(Stored::Yes) => "accepted",
            HandIn::Settled(Stored::No) => "refused",
            HandIn::Settled(Stored::Unknown) => "unknown",
            HandIn::NumberTaken => "number_taken",
            HandIn::TooLarge => "too_large",
            HandIn::AdviceUnusable => "advice_unusable",
            HandIn::NoRoom { .. } => "no_room",
        }
    }
}

/// A job that is handed in.
struct Submission<'a> {
    node: &'a Arc<Node>,
    cfg: &'a SchedConfig,
    job: JobKey,
    spec: JobSpec,
    /// What is known of earlier hand-ins of the job.
    earlier: CopyOutcome,
    /// When it came.
    arrived: Duration,
    /// How long its caller may be kept waiting.
    timeout: Duration,
}

/// Takes a job of a caller, who is answered within `timeout`. `held` is the memory of the request.
pub async fn hand_in(
    node: &Arc<Node>,
    cfg: &SchedConfig,
    number: JobNumber,
    spec: JobSpec,
    timeout: Duration,
    held: HeldBytes,
) -> HandIn {
    let (job, arrived) = (spec.key(number), node.now());
    let (earlier, under_way) = node.numbers.begin(job, &spec.service, arrived);
    let mut submission = Submission { node, cfg, job, spec, earlier, arrived, timeout };
    let outcome = match submission.answer_without_store().await {
        None => submission.store(under_way, held).await,
        Some(answer) => match under_way.settle(answer.stored_before()) {
            CopyOutcome::NotDone => answer,
            // Another hand-in of the job came here meanwhile.
            known => HandIn::Settled(known.into()),
        },
    };
    node.metrics.submissions.with_label_values(&[outcome.label()]).inc();
    outcome
}

impl Submission<'_> {
    /// The answer to a job that is not to be stored: it was accepted before, or it is refused.
    async fn answer_without_store(&mut self) -> Option<HandIn> {
        let (job, service) = (self.job, &self.spec.service);
        let (node, timeout) = (self.node, self.timeout);
        match number_check::use_of_number(node, self.cfg, job, service, self.earlier, timeout).await {
            NumberUse::Free => {}
            NumberUse::Taken => {
                self.log_refused("number_taken");
                return Some(HandIn::NumberTaken);
            }
            known => return self.answer_known(known),
        }
        if !self.can_start() {
            let timeout = timeout.saturating_sub(self.took());
            return match number_check::use_of_refused(node, job, false, timeout).await {
                NumberUse::Free | NumberUse::Taken => {
                    self.log_refused("advice_unusable");
                    Some(HandIn::AdviceUnusable)
                }
                known => self.answer_known(known),
            };
        }
        let retry_after = self.weigh().await?;
        Some(HandIn::NoRoom { retry_after })
    }

    /// The answer to a job of which an earlier hand-in is known; `None` if it is to be stored again.
    fn answer_known(&mut self, known: NumberUse) -> Option<HandIn> {
        match known {
            NumberUse::Free | NumberUse::Taken => None,
            NumberUse::PerhapsOwn => {
                self.earlier = self.earlier.with(CopyOutcome::Unknown);
                None
            }
            NumberUse::Accepted => {
                self.log_settled(Stored::Yes, "earlier");
                Some(HandIn::Settled(Stored::Yes))
            }
            NumberUse::Unclear => {
                self.log_settled(Stored::Unknown, "number");
                Some(HandIn::Settled(Stored::Unknown))
            }
        }
    }

    /// Whether tasks of the queue can be started at all.
    fn can_start(&self) -> bool {
        let queue = self.cfg.queues.get(&self.spec.queue);
        queue.and_then(|q| q.advice).is_none_or(|advice| advice.is_usable())
    }

    /// Has the lease holder weigh the job; returns when its caller should try again if there is no room for it.
    async fn weigh(&mut self) -> Option<Duration> {
        match admission_control::weigh(self.node, self.job, &self.spec).await? {
            // What waits is ordered by when its callers first came.
            Verdict::Admitted { age } => {
                self.spec.accepted_at = self.spec.accepted_at.saturating_sub(age.as_millis() as u64);
                None
            }
            Verdict::Refused { retry_after, wait, age } => {
                log::info!(
                    "event=job_refused job={:016x} reason=no_room queue={} workspace={} wait_ms={} age_ms={} \
                     retry_after_ms={} took_ms={}",
                    self.job,
                    self.spec.queue,
                    self.workspace(),
                    wait.as_millis(),
                    age.as_millis(),
                    retry_after.as_millis(),
                    self.took().as_millis()
                );
                Some(retry_after)
            }
        }
    }

    /// Stores the job, unless the store never takes it; returns what is known of it over all of its hand-ins.
    async fn store(&self, mut under_way: HandInUnderWay<'_>, mut held: HeldBytes) -> HandIn {
        let rec = job_record(self.job.number, &self.spec);
        if record_size(&rec) > self.node.settings.store_sizes().record {
            return self.refuse_too_large(under_way);
        }
        held.resize(rec.value.as_ref().map_or(0, Bytes::len));
        let timeout = self.timeout.saturating_sub(self.took());
        under_way.note_sent();
        let stored = self.node.inbox_writer.store_holding(rec, timeout, held).await;
        self.node.metrics.submission_seconds.observe(self.took().as_secs_f64());
        let mut known = Stored::from(under_way.settle(stored.into()).with(self.earlier));
        // Another entry may have stored the job before.
        if known == Stored::No && number_check::is_known(self.node, self.job).await {
            known = Stored::Yes;
        }
        self.log_settled(known, if known == stored { "now" } else { "earlier" });
        HandIn::Settled(known)
    }

    /// Refuses the job because of its size, unless an earlier hand-in of it, with another body, may be stored.
    fn refuse_too_large(&self, under_way: HandInUnderWay<'_>) -> HandIn {
        match under_way.settle(self.earlier) {
            CopyOutcome::NotDone => {
                self.log_refused("too_large");
                HandIn::TooLarge
            }
            known => HandIn::Settled(known.into()),
        }
    }

    fn workspace(&self) -> &str {
        self.spec.workspace.as_deref().unwrap_or("-")
    }

    fn took(&self) -> Duration {
        self.node.now() - self.arrived
    }

    fn log_refused(&self, reason: &str) {
        log::info!(
            "event=job_refused job={:016x} reason={reason} queue={} workspace={} took_ms={}",
            self.job,
            self.spec.queue,
            self.workspace(),
            self.took().as_millis()
        );
    }

    /// `known_by` tells from what the outcome follows: this hand-in, an earlier one, or the check of the number.
    fn log_settled(&self, stored: Stored, known_by: &str) {
        log::info!(
            "event=job_handed_in job={:016x} queue={} workspace={} version={} stored={stored:?} known_by={known_by} \
             took_ms={} store_silence_ms={}",
            self.job,
            self.spec.queue,
            self.workspace(),
            self.cfg.version,
            self.took().as_millis(),
            self.node.store_silence().as_millis()
        );
    }
}
