use lentilcart_util::Name;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of bits of a hash that become a uniform number below 1. With one more, the largest would be
/// rounded to 1, whose logarithm is 0.
const MANTISSA_BITS: u32 = 52;

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

/// Returns up to `count` members, those that rank highest for a key, the highest first, where each member
/// ranks highest for a part of the keys in proportion to its weight.
///
/// The method is weighted rendezvous hashing with logarithmic scores (Schindelhauer and Schomaker,
/// "Weighted distributed hash tables", 2005): a member of weight w with the hash u, uniform in (0, 1),
/// scores -w / ln u. A change of one weight moves only keys from or to that member. Members of equal weight
/// rank as by [`rendezvous_rank`]. A weight of 0 counts as 1.
pub fn weighted_rank<'a>(
    key: &str,
    members: impl Iterator<Item = (&'a Name, u32)>,
    count: usize,
) -> Vec<&'a Name> {
    let seed = xxh3_64_with_seed(key.as_bytes(), 0);
    let mut ranked: Vec<(f64, u64, &Name)> = members
        .map(|(name, weight)| {
            let hash = xxh3_64_with_seed(name.as_bytes(), seed);
            let uniform =
                ((hash >> (64 - MANTISSA_BITS)) as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64;
            (-f64::from(weight.max(1)) / uniform.ln(), hash, name)
        })
        .collect();
    ranked.sort_unstable_by(|a, b| {
        b.0.total_cmp(&a.0)
            .then_with(|| (b.1, b.2).cmp(&(a.1, a.2)))
    });
    ranked.truncate(count);
    ranked.into_iter().map(|(_, _, name)| name).collect()
}
