//! Seeded randomness.

use masticarch_agreement::random;

/// A generator whose draws follow from its seed.
#[derive(Debug, Clone)]
pub struct Seeded(fastrand::Rng);

impl Seeded {
    pub fn new(seed: u64) -> Self {
        Self(fastrand::Rng::with_seed(seed))
    }

    pub fn fork(&mut self) -> Self {
        Self(self.0.fork())
    }

    pub fn below(&mut self, limit: u64) -> u64 {
        self.0.u64(0..limit)
    }

    pub fn index(&mut self, limit: usize) -> usize {
        self.0.usize(0..limit)
    }

    /// True in `share` of 100 draws on average.
    pub fn percent(&mut self, share: u64) -> bool {
        self.below(100) < share
    }

    /// True once in `mean` draws on average; never if `mean` is 0.
    pub fn once_in(&mut self, mean: u64) -> bool {
        mean > 0 && self.below(mean) == 0
    }
}

impl random::Random for Seeded {
    fn below(&mut self, limit: u64) -> u64 {
        Self::below(self, limit)
    }
}
