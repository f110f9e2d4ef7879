//! Measures the CPU time and resident memory of processes, as reported by the operating system.

use serde::Serialize;

use crate::run::Process;

/// Clock ticks per second of CPU time in `/proc/PID/stat`.
const CLOCK_TICKS_PER_S: f64 = 100.0;
/// Size of a memory page, in bytes.
const PAGE_BYTES: u64 = 4096;

/// `ResourceUsage` holds the CPU and memory usage of one process during a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ResourceUsage {
    /// Name of the process.
    pub name: String,
    /// Mean CPU usage, in cores.
    pub cores: f64,
    /// Resident memory at the end, in MB.
    pub resident_mb: f64,
}

/// `UsageMeter` measures the resource usage of processes between `begin` and `end`.
#[derive(Debug)]
pub struct UsageMeter {
    initial_cpu_s: Vec<(Process, f64)>,
    started: std::time::Instant,
}

impl UsageMeter {
    /// Starts the measurement; processes that cannot be read are left out.
    pub fn begin(processes: &[Process]) -> Self {
        let row = |process: &Process| Some((process.clone(), cpu_s(process.pid)?));
        Self {
            initial_cpu_s: processes.iter().filter_map(row).collect(),
            started: std::time::Instant::now(),
        }
    }

    /// Returns the usage of each process since `begin`; processes that have ended are left out.
    pub fn end(&self) -> Vec<ResourceUsage> {
        let seconds = self.started.elapsed().as_secs_f64().max(f64::MIN_POSITIVE);
        let row = |(process, initial_s): &(Process, f64)| {
            let cores = (cpu_s(process.pid)? - initial_s) / seconds;
            Some(ResourceUsage {
                name: process.name.clone(),
                cores,
                resident_mb: resident_mb(process.pid)?,
            })
        };
        self.initial_cpu_s.iter().filter_map(row).collect()
    }
}

/// Returns the CPU time of a process, in s.
fn cpu_s(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command name may contain spaces, so fields are counted from the parenthesis after it.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(ticks / CLOCK_TICKS_PER_S)
}

/// Returns the resident memory of a process, in MB.
fn resident_mb(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some((pages * PAGE_BYTES) as f64 / 1e6)
}
