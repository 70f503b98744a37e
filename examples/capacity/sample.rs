//! Samples CPU time of the current thread and memory of this process.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use crate::fit::SizePoint;

/// Repetitions of each timed step, of which the median is reported.
const REPETITIONS: usize = 5;

/// Bytes in a KiB, the unit of `/proc/self/status`.
const KIB: f64 = 1_024.0;

fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Returns the CPU time of a step in microseconds.
pub(crate) fn cpu_micros<T>(step: impl FnOnce() -> T) -> f64 {
    let start = thread_cpu_time();
    std::hint::black_box(step());
    (thread_cpu_time() - start).as_secs_f64() * 1e6
}

/// Returns the resident memory of this process in bytes, or 0 if it is not known.
pub(crate) fn resident_bytes() -> f64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().strip_suffix("kB"));
    kib.and_then(|kib| kib.trim().parse::<f64>().ok()).unwrap_or(0.0) * KIB
}

/// Repeats a measurement and returns its median and spread.
pub(crate) fn repeat_measurement(size: usize, mut measurement: impl FnMut() -> f64) -> SizePoint {
    let mut values: Vec<f64> = (0..REPETITIONS).map(|_| measurement()).collect();
    values.sort_by(f64::total_cmp);
    SizePoint {
        size: size as f64,
        value: values[REPETITIONS / 2],
        spread: values[REPETITIONS - 1] - values[0],
    }
}

/// Returns the point of a value that was sampled once.
pub(crate) fn single_sample(size: usize, value: f64) -> SizePoint {
    SizePoint {
        size: size as f64,
        value,
        spread: 0.0,
    }
}
