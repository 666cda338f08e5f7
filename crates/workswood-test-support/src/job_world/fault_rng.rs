//! A seeded random generator for message faults and other choices.

use std::time::Duration;

/// What happens to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is delivered and answered.
    Fine,
    /// It is lost.
    Lost,
    /// It is delivered, and its answer is lost.
    AnswerLost,
    /// It is delivered after this time, and its answer is lost.
    Late(Duration),
}

/// A xorshift generator, seeded by the test.
#[derive(Clone, Debug)]
pub struct FaultRng {
    state: u64,
    /// Number of messages in 1,000 that are lost, delayed or not answered.
    pub faults_per_mille: u64,
}

/// What a generator beside that of a world's faults draws.
#[derive(Clone, Copy, Debug)]
pub(super) enum Stream {
    /// Which polls wait at a worker, and the latency of answers.
    Polls,
    /// When workers change what they list.
    WorkerChanges,
    /// Which orders reach a later life of a worker.
    Misdelivery,
    /// Where jobs are handed in, and what becomes of each hand-in.
    HandIns,
    /// The figures of the adviser.
    Advice,
}

impl FaultRng {
    /// Creates a generator from a seed.
    pub fn new(seed: u64, faults_per_mille: u64) -> FaultRng {
        FaultRng { state: seed | 1, faults_per_mille }
    }

    /// Creates a generator without faults whose draws differ from the first one on, also for seeds
    /// that are close to each other.
    pub fn mixed(seed: u64) -> FaultRng {
        let mut rng = FaultRng::new(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1, 0);
        for _ in 0..8 {
            rng.below(2);
        }
        rng
    }

    /// Creates a generator without faults whose draws depend on the state of this one, from which nothing is drawn.
    pub(super) fn stream(&self, stream: Stream) -> FaultRng {
        let rotation = match stream {
            Stream::Polls => 0,
            Stream::WorkerChanges => 32,
            Stream::Misdelivery => 16,
            Stream::HandIns => 48,
            Stream::Advice => 24,
        };
        FaultRng::mixed(self.state.rotate_left(rotation))
    }

    /// Draws a number below `n`; zero if `n` is zero.
    pub fn below(&mut self, n: u64) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state % n.max(1)
    }

    /// Draws the fate of the next message.
    pub(super) fn fate(&mut self) -> Fate {
        self.fate_with(self.faults_per_mille)
    }

    /// Draws the fate of a message of a kind of which so many in 1,000 meet a fault.
    pub(super) fn fate_with(&mut self, faults_per_mille: u64) -> Fate {
        if self.below(1000) >= faults_per_mille {
            return Fate::Fine;
        }
        match self.below(3) {
            0 => Fate::Lost,
            1 => Fate::AnswerLost,
            _ => Fate::Late(Duration::from_millis(2000 + self.below(10_000))),
        }
    }
}
