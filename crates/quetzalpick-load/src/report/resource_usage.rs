//! What processes cost: processor time and resident memory, as the operating system counts them.

use serde::Serialize;

use crate::run::Process;

/// Ticks of processor time in a second, as Linux reports them.
const TICKS_PER_S: f64 = 100.0;
/// Bytes of a page.
const PAGE_BYTES: u64 = 4096;

/// `Cost` is what one process cost during a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Cost {
    /// Name of the process.
    pub name: String,
    /// Processor time, as a part of one core.
    pub cores: f64,
    /// Resident memory at the end, in MB.
    pub resident_mb: f64,
}

/// `Meter` measures processes from one moment to another.
#[derive(Debug)]
pub struct Meter {
    began: Vec<(Process, f64)>,
    at: std::time::Instant,
}

impl Meter {
    /// Begins to measure; processes that cannot be read are left out.
    pub fn begin(processes: &[Process]) -> Self {
        let row = |process: &Process| Some((process.clone(), cpu_s(process.pid)?));
        Self {
            began: processes.iter().filter_map(row).collect(),
            at: std::time::Instant::now(),
        }
    }

    /// Returns what each process cost since the beginning; one that has ended is left out.
    pub fn end(&self) -> Vec<Cost> {
        let seconds = self.at.elapsed().as_secs_f64().max(f64::MIN_POSITIVE);
        let row = |(process, began_s): &(Process, f64)| {
            let cores = (cpu_s(process.pid)? - began_s) / seconds;
            Some(Cost {
                name: process.name.clone(),
                cores,
                resident_mb: resident_mb(process.pid)?,
            })
        };
        self.began.iter().filter_map(row).collect()
    }
}

/// Returns the processor time of a process, in s.
fn cpu_s(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    // The command may hold spaces, so that fields are counted from the parenthesis behind it.
    let fields: Vec<&str> = text.rsplit_once(')')?.1.split_whitespace().collect();
    let ticks = fields.get(11)?.parse::<f64>().ok()? + fields.get(12)?.parse::<f64>().ok()?;
    Some(ticks / TICKS_PER_S)
}

/// Returns the resident memory of a process, in MB.
fn resident_mb(pid: u32) -> Option<f64> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/statm")).ok()?;
    let pages: u64 = text.split_whitespace().nth(1)?.parse().ok()?;
    Some((pages * PAGE_BYTES) as f64 / 1e6)
}
