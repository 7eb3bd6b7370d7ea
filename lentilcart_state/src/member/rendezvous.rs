use lentilcart_util::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Returns up to `count` members, those that rank highest for a key, the highest first.
///
/// All entries that know the same members agree on the ranking without exchanging it. A member that
/// joins or leaves changes the first member only of the keys for which it ranks highest itself. The
/// method is rendezvous hashing (Thaler and Ravishankar, 1998).
///
/// # Examples
///
/// ```
/// use lentilcart_state::rendezvous_rank;
/// use lentilcart_util::Name;
///
/// let entries = ["e1", "e2", "e3"].map(Name::from);
/// assert_eq!(rendezvous_rank("catalogue", entries.iter(), 2).len(), 2);
/// ```
pub fn rendezvous_rank<'a>(
    key: &str,
    members: impl Iterator<Item = &'a Name>,
    count: usize,
) -> Vec<&'a Name> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut ranked: Vec<_> = members
        .map(|m| (xxh3_64_with_seed(m.as_bytes(), seed), m))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(count);
    ranked.into_iter().map(|(_, m)| m).collect()
}
