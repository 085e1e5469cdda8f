//! Memory of processes.

/// Most memory that a process has used so far, in bytes; `None` when it does not run.
#[must_use]
pub fn peak(process: u32) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmHWM:"))?;
    let kib: u64 = line.trim().strip_suffix("kB")?.trim().parse().ok()?;
    Some(kib << 10)
}
