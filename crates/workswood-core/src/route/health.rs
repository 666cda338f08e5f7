//! Health of one endpoint as one entry host sees it.
//!
//! Bad endpoints are told by failures in a row, by an old request that has not
//! come back while nothing else did, and by answers much slower than those of
//! the other endpoints. An ejected endpoint is probed with one request after a
//! back-off that doubles. The cap on ejections is kept by the dispatcher.

use std::time::Duration;

const FAILURES_TO_EJECT: u32 = 3;
const FIRST_BACKOFF: Duration = Duration::from_millis(500);
const MOST_BACKOFF: Duration = Duration::from_secs(30);
const FROZEN_LEAST: Duration = Duration::from_millis(750);
const FROZEN_FACTOR: f64 = 10.0;
const SLOW_FACTOR: f64 = 4.0;
const SLOW_LEAST: f64 = 0.005;
const MIN_ANSWERS: u32 = 8;
const EWMA: f64 = 0.1;

/// Whether an endpoint gets work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It does.
    Good,
    /// Not before the time given, since the start of the process.
    Ejected(Duration),
    /// One request is out to see whether it is well.
    Probing,
}

/// Health of one endpoint.
#[derive(Clone, Debug)]
pub struct Health {
    standing: Standing,
    failures: u32,
    answers: u32,
    seconds: f64,
    backoff: Duration,
    progress: Duration,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            standing: Standing::Good,
            failures: 0,
            answers: 0,
            seconds: 0.0,
            backoff: FIRST_BACKOFF,
            progress: Duration::ZERO,
        }
    }
}

impl Health {
    /// Whether it gets work.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Mean time of an answer in seconds; none before enough answers.
    pub fn mean(&self) -> Option<f64> {
        (self.answers >= MIN_ANSWERS).then_some(self.seconds)
    }

    /// Whether a request may go there now.
    pub fn may_send(&self, now: Duration) -> bool {
        match self.standing {
            Standing::Good => true,
            Standing::Ejected(until) => now >= until,
            Standing::Probing => false,
        }
    }

    /// Notes that a request goes there.
    pub fn sent(&mut self, now: Duration, in_flight: u32) {
        if in_flight == 0 {
            self.progress = now;
        }
        if let Standing::Ejected(_) = self.standing {
            self.standing = Standing::Probing;
        }
    }

    /// Notes a good answer and its time.
    pub fn good(&mut self, now: Duration, took: Duration) {
        let s = took.as_secs_f64();
        self.seconds = if self.answers == 0 { s } else { self.seconds + EWMA * (s - self.seconds) };
        self.answers = self.answers.saturating_add(1);
        self.failures = 0;
        self.progress = now;
        if self.standing == Standing::Probing {
            // A probe that was answered starts the measurement of time anew.
            *self = Health { progress: now, backoff: self.backoff, ..Health::default() };
        }
    }

    /// Notes a failure; true if the endpoint deserves ejection.
    pub fn bad(&mut self, now: Duration) -> bool {
        self.failures += 1;
        self.progress = now;
        self.standing == Standing::Probing || self.failures >= FAILURES_TO_EJECT
    }

    /// Whether requests are out and none came back for much too long.
    pub fn frozen(&self, now: Duration, in_flight: u32, usual: f64) -> bool {
        let limit = FROZEN_LEAST.max(Duration::from_secs_f64(usual * FROZEN_FACTOR));
        in_flight > 0 && self.standing != Standing::Probing && now.saturating_sub(self.progress) > limit
    }

    /// Whether its answers take much longer than is usual.
    pub fn slow(&self, usual: f64) -> bool {
        self.mean().is_some_and(|m| m > SLOW_LEAST && m > usual * SLOW_FACTOR)
    }

    /// Ejects it for a back-off.
    pub fn eject(&mut self, now: Duration) {
        self.standing = Standing::Ejected(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MOST_BACKOFF);
        self.failures = 0;
        self.answers = 0;
    }

    /// Gives it work again without a probe.
    pub fn restore(&mut self) {
        self.standing = Standing::Good;
        self.failures = 0;
    }

    /// Notes a long time without trouble.
    pub fn calm(&mut self) {
        self.backoff = FIRST_BACKOFF;
    }
}
