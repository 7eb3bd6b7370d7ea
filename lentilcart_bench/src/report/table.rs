use std::fmt::Write;

use crate::scenario::ExperimentRow;

/// Returns a text table of the results.
///
/// `policy` is the name of the variant. Latencies are in milliseconds; `short99` and `short999` are those
/// without stragglers, `bound99` and `bound999` those at the reference. Each `ratio` is `short99` or
/// `short999` divided by the reference in the column before it. `2x` counts
/// requests that ran twice or ran though their caller was told otherwise; `cpu` is the share of all
/// cores that was in use.
#[must_use]
pub fn format_table(rows: &[ExperimentRow]) -> String {
    let mut text = String::new();
    writeln!(
        text,
        "{:<14} {:<13} {:>6} {:>7} {:>7} {:>7} {:>4} {:>6} {:>8} {:>9} {:>9} {:>7} {:>9} {:>7} {:>6}",
        "policy", "service", "sent", "in time", "not run", "unknown", "2x", "p50", "short99",
        "short999", "bound99", "ratio", "bound999", "ratio", "cpu"
    )
    .ok();
    for row in rows {
        let ratio = |value: f64, bound: f64| if bound > 0.0 { value / bound } else { 0.0 };
        writeln!(
            text,
            "{:<14} {:<13} {:>6} {:>7} {:>7} {:>7} {:>4} {:>6.1} {:>8.1} {:>9.1} {:>9.1} {:>7.2} {:>9.1} {:>7.2} {:>6.2}{}",
            row.policy,
            row.service,
            row.sent,
            row.within_deadline,
            row.not_run,
            row.unknown,
            row.doubled + row.false_not_run,
            row.p50_ms,
            row.short_p99_ms,
            row.short_p999_ms,
            row.bound_short_p99_ms,
            ratio(row.short_p99_ms, row.bound_short_p99_ms),
            row.bound_short_p999_ms,
            ratio(row.short_p999_ms, row.bound_short_p999_ms),
            row.machine_share,
            if row.valid { "" } else { "  not valid: the processors were saturated or stolen by the hypervisor" }
        )
        .ok();
    }
    text
}
