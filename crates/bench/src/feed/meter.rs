//! Processor time and memory of processes and threads, as the system counts them.

use std::{fs, path::Path, time::Duration};

/// Ticks of the system's clock for processor times, per second.
const TICKS_PER_S: u64 = 100;
/// The name of the threads that follow the feed.
const UPLINK: &str = "uplink";

/// Processor time that a process has used.
pub fn process_time(id: u32) -> Duration {
    time_of(Path::new(&format!("/proc/{id}/stat")))
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
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return Duration::ZERO;
    };
    tasks
        .filter_map(Result::ok)
        .filter(|task| {
            let name = fs::read_to_string(task.path().join("comm")).unwrap_or_default();
            name.trim_end() == UPLINK
        })
        .map(|task| time_of(&task.path().join("stat")))
        .sum()
}

/// User and system time: the 12th and 13th field after the name.
fn time_of(stat: &Path) -> Duration {
    let text = fs::read_to_string(stat).unwrap_or_default();
    let fields = text.rsplit_once(')').map_or("", |(_, fields)| fields);
    let ticks: u64 = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .filter_map(|field| field.parse::<u64>().ok())
        .sum();
    Duration::from_millis(ticks * 1_000 / TICKS_PER_S)
}
