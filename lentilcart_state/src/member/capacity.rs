/// Weight of an entry that names no share of a core, also of one of an earlier version.
pub const DEFAULT_WEIGHT: u32 = 1000;
/// Share of a core that an entry needs for its own callers and for control, before it can bear the duties of
/// an owner: 2.4 % for control, and as much for callers, who come to all entries alike. Weights in
/// proportion to the whole share would give an entry with 0.07 of a core a seventh of the services of one
/// with 0.5, while it can bear a twentieth.
const OWN_SHARE: f64 = 0.05;
/// Smallest share of a core that counts as beyond that, so that small entries among themselves are equal.
const MIN_SHARE: f64 = 0.005;
/// Largest share that counts: an entry runs requests on one thread.
const MAX_SHARE: f64 = 1.0;

/// Returns the weight of an entry in the choice of owners, in thousandths of a core that it can spare, from
/// the share of a core that it may use; [`DEFAULT_WEIGHT`] if that is not known.
///
/// It is a whole number, since all entries must rank alike.
#[must_use]
pub fn get_weight(cpu_share: Option<f64>) -> u32 {
    cpu_share.map_or(DEFAULT_WEIGHT, |share| {
        let spare = (share.min(MAX_SHARE) - OWN_SHARE).max(MIN_SHARE);
        (spare * f64::from(DEFAULT_WEIGHT)).round() as u32
    })
}
