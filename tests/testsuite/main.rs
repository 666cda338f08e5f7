//! The test suite: one module for each feature.

mod random_fleet;
