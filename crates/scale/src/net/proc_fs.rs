//! Reads CPU time, memory and load from `/proc`.

use std::time::Duration;

/// Returns the CPU time of all threads of a process, or `None` if the process doesn't exist.
pub fn cpu_time(process: u32) -> Option<Duration> {
    let threads = std::fs::read_dir(format!("/proc/{process}/task")).ok()?;
    let cpu_nanoseconds = |thread: std::fs::DirEntry| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse::<u64>().ok()
    };
    let nanoseconds: Vec<u64> = threads.flatten().filter_map(cpu_nanoseconds).collect();
    (!nanoseconds.is_empty()).then(|| Duration::from_nanos(nanoseconds.iter().sum()))
}

/// Returns the CPU time of the calling thread.
pub fn thread_cpu_time() -> Duration {
    let text = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanoseconds = text.split_whitespace().next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanoseconds.unwrap_or_default())
}

/// Resident memory of a process, in MiB.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ProcessMemory {
    /// The most memory that the process has used.
    pub peak_mb: f64,
    /// The memory that it uses now.
    pub current_mb: f64,
}

/// Returns the resident memory of a process, or `None` if it can't be read.
pub fn memory(process: u32) -> Option<ProcessMemory> {
    const KB_PER_MB: f64 = 1024.0;
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let field = |name: &str| {
        let text = status.lines().find_map(|line| line.strip_prefix(name))?;
        let kilobytes: f64 = text.trim().trim_end_matches(" kB").parse().ok()?;
        Some(kilobytes / KB_PER_MB)
    };
    Some(ProcessMemory { peak_mb: field("VmHWM:")?, current_mb: field("VmRSS:")? })
}

/// Returns the load average of the machine over the last minute.
pub fn load_average() -> Option<f64> {
    let text = std::fs::read_to_string("/proc/loadavg").ok()?;
    text.split_whitespace().next()?.parse().ok()
}
