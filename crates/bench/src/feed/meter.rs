//! Processor time and memory of processes and threads, as the system counts them.

use std::{fs, path::Path, time::Duration};

/// The name of the threads that follow the feed.
const UPLINK: &str = "uplink";

/// Processor time that the threads of a process have used.
pub fn process_time(id: u32) -> Duration {
    time_of_threads(&format!("/proc/{id}/task"), |_| true)
}

/// Resident memory of a process, in bytes.
pub fn process_memory(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next());
    kilobytes.and_then(|text| text.parse().ok()).unwrap_or(0) * 1_024
}

/// Processor time that this process's subscribers have used.
pub fn uplink_time() -> Duration {
    time_of_threads("/proc/self/task", |task| {
        let name = fs::read_to_string(task.join("comm")).unwrap_or_default();
        name.trim_end() == UPLINK
    })
}

/// The scheduler's count, which is exact to the nanosecond; the ticks of `stat` are too coarse for
/// threads that mostly sleep.
fn time_of_threads(folder: &str, is_counted: impl Fn(&Path) -> bool) -> Duration {
    let tasks = fs::read_dir(folder).into_iter().flatten();
    let paths = tasks.filter_map(Result::ok).map(|task| task.path());
    paths
        .filter(|path| is_counted(path))
        .filter_map(|path| {
            let text = fs::read_to_string(path.join("schedstat")).ok()?;
            text.split_whitespace().next()?.parse().ok()
        })
        .map(Duration::from_nanos)
        .sum()
}
