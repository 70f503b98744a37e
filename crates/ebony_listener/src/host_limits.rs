//! What the host and the limits of the process allow.

use std::fs;
use std::path::Path;

use rustix::process::{Resource, getrlimit};

/// The share of the host's memory that callers may make the process hold. The rest is for the kernel, the configuration,
/// the tables of targets and programs, kept conversations, and the overhead of allocations.
const MEMORY_SHARE: u64 = 4;

/// The memory that is assumed if the host does not tell: that of the smallest host in use.
const ASSUMED_MEMORY: u64 = 88_000_000;

/// The fewest descriptors that are kept back for the store, links, targets, the metrics port and files.
const MIN_KEPT_DESCRIPTORS: u64 = 256;

/// The share of all descriptors that is kept back.
const KEPT_DESCRIPTOR_SHARE: u64 = 4;

/// Returns the budget of memory for callers on this host: a quarter of its memory, or of the limit of the process's
/// control group if that is lower.
pub fn default_memory() -> u64 {
    let read = |path: &Path| fs::read_to_string(path).ok();
    let memory = host_memory(&read("/proc/meminfo".as_ref()).unwrap_or_default());
    let groups = read("/proc/self/cgroup".as_ref()).unwrap_or_default();
    let limits = group_limit_files(&groups);
    let limits = limits
        .iter()
        .filter_map(|path| read(path.as_ref())?.trim().parse().ok());
    limits.chain(memory).min().unwrap_or(ASSUMED_MEMORY) / MEMORY_SHARE
}

/// Returns the total memory that `/proc/meminfo` states, in bytes.
///
/// ```
/// use ebony_listener::host_limits::host_memory;
///
/// assert_eq!(host_memory("MemTotal:     88000 kB\nMemFree: 1 kB\n"), Some(88_000 * 1_024));
/// ```
pub fn host_memory(text: &str) -> Option<u64> {
    let line = text.lines().find_map(|line| line.strip_prefix("MemTotal:"))?;
    let figure = line.trim().strip_suffix(" kB")?;
    figure.trim().parse::<u64>().ok()?.checked_mul(1_024)
}

/// Returns the files that may limit the memory of the process, from the text of `/proc/self/cgroup`: those of its control
/// group and of all groups that contain it, in both versions.
///
/// ```
/// use ebony_listener::host_limits::group_limit_files;
///
/// let files = group_limit_files("0::/a/b\n");
/// assert_eq!(files[0], "/sys/fs/cgroup/a/b/memory.max");
/// assert_eq!(files[2], "/sys/fs/cgroup/memory.max");
/// ```
pub fn group_limit_files(text: &str) -> Vec<String> {
    let mut files = Vec::new();
    for line in text.lines() {
        let mut parts = line.splitn(3, ':').skip(1);
        let (Some(kinds), Some(group)) = (parts.next(), parts.next()) else {
            continue;
        };
        let (root, file) = match kinds {
            "" => ("/sys/fs/cgroup", "memory.max"),
            kinds if kinds.split(',').any(|kind| kind == "memory") => {
                ("/sys/fs/cgroup/memory", "memory.limit_in_bytes")
            }
            _ => continue,
        };
        let mut group = group.trim_end_matches('/');
        loop {
            files.push(format!("{root}{group}/{file}"));
            match group.rsplit_once('/') {
                Some((parent, _)) => group = parent,
                None => break,
            }
        }
    }
    files
}

/// Returns the most connections of callers that the process's limit of descriptors allows.
pub fn max_connections() -> usize {
    let limit = getrlimit(Resource::Nofile).current.unwrap_or(u64::MAX);
    let kept = (limit / KEPT_DESCRIPTOR_SHARE).max(MIN_KEPT_DESCRIPTORS);
    usize::try_from(limit.saturating_sub(kept).max(1)).unwrap_or(usize::MAX)
}
