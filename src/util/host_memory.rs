use std::fs::read_to_string;

/// Returns the memory in bytes that this process may use by what the system shows of it: the least of the
/// host's memory, the limit of its control group and the limit of its address space; `None` if the system
/// shows none of them.
pub(crate) fn get_visible_memory() -> Option<u64> {
    let host = read_to_string("/proc/meminfo").ok();
    let host = host.and_then(|text| find_number(&text, "MemTotal:"));
    let group = read_to_string("/proc/self/cgroup").ok().and_then(|text| {
        let path = text.lines().find_map(|line| line.strip_prefix("0::"))?;
        let limit = read_to_string(format!("/sys/fs/cgroup{path}/memory.max")).ok()?;
        limit.trim().parse::<u64>().ok()
    });
    let limits = read_to_string("/proc/self/limits").ok();
    let space = limits.and_then(|text| find_number(&text, "Max address space"));
    [host.map(|kib| kib.saturating_mul(1024)), group, space]
        .into_iter()
        .flatten()
        .min()
}

/// Returns the number after a label at the start of a line, if there is one.
fn find_number(text: &str, label: &str) -> Option<u64> {
    let rest = text.lines().find_map(|line| line.strip_prefix(label))?;
    rest.split_whitespace().next()?.parse().ok()
}
