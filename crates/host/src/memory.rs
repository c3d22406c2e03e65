//! The memory of this process, as the kernel counts it.

use std::{fs, io};

/// The most memory that the process has held since it started, or since [`reset_peak`], in bytes.
///
/// # Errors
///
/// If the kernel does not tell.
pub fn peak() -> io::Result<usize> {
    let status = fs::read_to_string("/proc/self/status")?;
    let kilobytes = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes
        .map(|kilobytes| kilobytes * 1_024)
        .ok_or_else(|| io::Error::other("could not read VmHWM"))
}

/// Forgets the peak so far, and returns what the process holds now, in bytes.
///
/// # Errors
///
/// If the kernel does not tell.
pub fn reset_peak() -> io::Result<usize> {
    const RESET_PEAK: &str = "5";
    fs::write("/proc/self/clear_refs", RESET_PEAK)?;
    peak()
}
