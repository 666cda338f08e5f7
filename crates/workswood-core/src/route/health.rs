//! Health of one endpoint as one entry sees it.
//!
//! An endpoint is ejected after several consecutive failures, when its requests make no
//! progress, or when it responds much more slowly than the other endpoints. An ejected
//! endpoint is probed with one request after a back-off that doubles with each ejection.
//! The dispatcher limits how many endpoints are ejected at a time.

use std::time::Duration;

/// Consecutive failures after which an endpoint is to be ejected.
const FAILURES_TO_EJECT: u32 = 3;
/// Time from the first ejection to the probe.
const INITIAL_BACKOFF: Duration = Duration::from_millis(500);
/// Upper bound of the back-off.
const MAX_BACKOFF: Duration = Duration::from_secs(30);
/// Lower bound of the time without a response after which an endpoint counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(750);
/// Multiple of the typical response time that may pass without a response.
const STALL_FACTOR: f64 = 10.0;
/// Multiple of the typical response time above which an endpoint counts as slow.
const SLOW_FACTOR: f64 = 4.0;
/// Lower bound of the mean response time of a slow endpoint, in seconds.
const MIN_SLOW_SECS: f64 = 0.005;
/// Responses needed before the mean response time is used.
const MIN_SAMPLES: u32 = 8;
/// Weight of a new sample in the moving average of the response time.
const EWMA_WEIGHT: f64 = 0.1;

/// Whether an endpoint gets requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HealthState {
    /// It gets requests.
    Healthy,
    /// It gets no requests before the given time, measured from the start of the process.
    Ejected(Duration),
    /// A probe request was sent, and no others are sent until a request has ended with success
    /// or failure. If the probe ends without a result, a later request is the probe.
    Probing,
}

/// Health of one endpoint.
#[derive(Clone, Debug)]
pub struct Health {
    state: HealthState,
    consecutive_failures: u32,
    samples: u32,
    mean_secs: f64,
    backoff: Duration,
    last_progress: Duration,
}

impl Default for Health {
    fn default() -> Self {
        Health {
            state: HealthState::Healthy,
            consecutive_failures: 0,
            samples: 0,
            mean_secs: 0.0,
            backoff: INITIAL_BACKOFF,
            last_progress: Duration::ZERO,
        }
    }
}

impl Health {
    /// Whether the endpoint gets requests.
    pub fn state(&self) -> HealthState {
        self.state
    }

    /// Mean response time in seconds; `None` until there are enough samples.
    pub fn mean_secs(&self) -> Option<f64> {
        (self.samples >= MIN_SAMPLES).then_some(self.mean_secs)
    }

    /// Whether a request may be sent to the endpoint now.
    pub fn may_send(&self, now: Duration) -> bool {
        match self.state {
            HealthState::Healthy => true,
            HealthState::Ejected(until) => now >= until,
            HealthState::Probing => false,
        }
    }

    /// Records that a request is sent while `in_flight` others are in flight. The first
    /// request to an ejected endpoint is its probe; returns whether this one is.
    pub fn record_send(&mut self, now: Duration, in_flight: u32) -> bool {
        if in_flight == 0 {
            self.last_progress = now;
        }
        let is_probe = matches!(self.state, HealthState::Ejected(_));
        if is_probe {
            self.state = HealthState::Probing;
        }
        is_probe
    }

    /// Records that the probe ended without a result, so that a later request is the probe.
    pub fn record_lost_probe(&mut self, now: Duration) {
        if self.state == HealthState::Probing {
            self.state = HealthState::Ejected(now + INITIAL_BACKOFF);
        }
    }

    /// Records a success and its response time.
    pub fn record_success(&mut self, now: Duration, took: Duration) {
        let s = took.as_secs_f64();
        self.mean_secs =
            if self.samples == 0 { s } else { self.mean_secs + EWMA_WEIGHT * (s - self.mean_secs) };
        self.samples = self.samples.saturating_add(1);
        self.consecutive_failures = 0;
        self.last_progress = now;
        if self.state == HealthState::Probing {
            // Response times from before the ejection no longer count.
            *self = Health { last_progress: now, backoff: self.backoff, ..Health::default() };
        }
    }

    /// Records a failure; returns whether the endpoint is to be ejected.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        self.consecutive_failures += 1;
        self.last_progress = now;
        self.state == HealthState::Probing || self.consecutive_failures >= FAILURES_TO_EJECT
    }

    /// Whether requests are in flight and none has ended for much longer than the typical
    /// response time, given in seconds.
    pub fn is_stalled(&self, now: Duration, in_flight: u32, typical_secs: f64) -> bool {
        let limit = MIN_STALL_TIMEOUT.max(Duration::from_secs_f64(typical_secs * STALL_FACTOR));
        in_flight > 0 && self.state != HealthState::Probing && now.saturating_sub(self.last_progress) > limit
    }

    /// Whether the mean response time is much longer than the typical one, given in seconds.
    pub fn is_slow(&self, typical_secs: f64) -> bool {
        self.mean_secs().is_some_and(|m| m > MIN_SLOW_SECS && m > typical_secs * SLOW_FACTOR)
    }

    /// Ejects the endpoint for the current back-off and doubles the next one.
    pub fn eject(&mut self, now: Duration) {
        self.state = HealthState::Ejected(now + self.backoff);
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        self.consecutive_failures = 0;
        self.samples = 0;
    }

    /// Makes the endpoint healthy again without a probe.
    pub fn readmit(&mut self) {
        self.state = HealthState::Healthy;
        self.consecutive_failures = 0;
    }

    /// Resets the back-off to its initial value.
    pub fn reset_backoff(&mut self) {
        self.backoff = INITIAL_BACKOFF;
    }
}
