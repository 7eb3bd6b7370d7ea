//! Hash collections with the `FxHash` function of rustc.

/// Hash map with a fast, non-cryptographic hasher that has no random seed.
///
/// The hasher doesn't resist keys that are crafted to collide.
pub type Map<K, V> = rustc_hash::FxHashMap<K, V>;

/// Hash set with the hasher of [`Map`].
pub type Set<K> = rustc_hash::FxHashSet<K>;
