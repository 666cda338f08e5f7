//! Maps whose order is the same in every run.

use std::collections::{HashMap, HashSet};
use std::hash::BuildHasherDefault;

use rustc_hash::FxHasher;

/// A map that lists its entries in an order that follows from what was put in
/// and taken out. The standard map draws an order of its own in each process;
/// where two choices are as good, the same events would decide differently.
///
/// For keys that the platform or this system gave. What callers name is kept in
/// trees, lest one picks many that collide.
pub type StableMap<K, V> = HashMap<K, V, BuildHasherDefault<FxHasher>>;

/// A set whose order is the same in every run; likewise.
pub type StableSet<K> = HashSet<K, BuildHasherDefault<FxHasher>>;
