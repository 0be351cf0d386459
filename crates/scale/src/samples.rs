//! Resource usage of processes, read from procfs.

use crate::results::Usage;
use std::collections::HashMap;
use std::time::Instant;

/// Takes samples of processes and keeps the last one of each.
pub struct Sampler {
    ticks_per_s: f64,
    page_bytes: u64,
    last: HashMap<u32, (Instant, u64)>,
}

impl Sampler {
    pub fn new() -> Sampler {
        Sampler {
            ticks_per_s: procfs::ticks_per_second() as f64,
            page_bytes: procfs::page_size(),
            last: HashMap::new(),
        }
    }

    /// Returns the usage of a process since its last sample; `None` at its first one, or if it is gone.
    pub fn sample(&mut self, process_id: u32) -> Option<Usage> {
        let process = procfs::process::Process::new(process_id as i32).ok()?;
        let stat = process.stat().ok()?;
        let (now, ticks) = (Instant::now(), stat.utime + stat.stime);
        let (before, ticks_before) = self.last.insert(process_id, (now, ticks))?;
        let seconds = (now - before).as_secs_f64();
        Some(Usage {
            cores: ticks.saturating_sub(ticks_before) as f64 / self.ticks_per_s / seconds,
            resident_mb: (stat.rss * self.page_bytes) as f64 / 1e6,
            open_files: process.fd_count().unwrap_or(0) as f64,
        })
    }
}
