//! The test suite: one module for each feature.
