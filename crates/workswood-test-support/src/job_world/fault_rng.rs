//! Draws what happens to messages.

use std::time::Duration;

/// What happens to a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It is carried out and answered.
    Fine,
    /// It is lost.
    Lost,
    /// It is carried out, and its answer is lost.
    AnswerLost,
    /// It is carried out after this time, and never answered.
    Late(Duration),
}

/// A small generator of numbers, seeded by the test.
#[derive(Clone, Debug)]
pub struct FaultRng {
    state: u64,
    /// Messages that are not fine, of 1,000.
    pub faults_per_mille: u64,
}

impl FaultRng {
    /// A generator.
    pub fn new(seed: u64, faults_per_mille: u64) -> FaultRng {
        FaultRng { state: seed | 1, faults_per_mille }
    }

    /// A number below `n`.
    pub fn below(&mut self, n: u64) -> u64 {
        self.state ^= self.state << 13;
        self.state ^= self.state >> 7;
        self.state ^= self.state << 17;
        self.state % n.max(1)
    }

    /// What happens to the next message.
    pub(super) fn fate(&mut self) -> Fate {
        if self.below(1000) >= self.faults_per_mille {
            return Fate::Fine;
        }
        match self.below(3) {
            0 => Fate::Lost,
            1 => Fate::AnswerLost,
            _ => Fate::Late(Duration::from_millis(2000 + self.below(10_000))),
        }
    }
}
