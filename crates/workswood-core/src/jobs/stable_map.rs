//! Maps and sets whose iteration order is the same in every process.

use std::collections::{HashMap, HashSet};
use std::hash::BuildHasherDefault;

use rustc_hash::FxHasher;

/// A hash map whose iteration order depends only on the insertions and removals. The standard map
/// is seeded at random in each process, so the same events could lead to different decisions where
/// two choices are equally good.
///
/// Use it only for keys from the platform or from this system. Keys that callers choose belong in a
/// `BTreeMap`, because a caller could choose many that collide.
pub type StableMap<K, V> = HashMap<K, V, BuildHasherDefault<FxHasher>>;

/// A hash set with the same properties as [`StableMap`].
pub type StableSet<K> = HashSet<K, BuildHasherDefault<FxHasher>>;
