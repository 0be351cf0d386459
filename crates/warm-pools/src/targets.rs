//! Current target number of replicas of each pool.

use crate::calendar::Schedule;
use crate::settings::{PoolName, PoolSettings};
use crate::wall_clock::WallClockFilter;
use std::collections::BTreeMap;

/// Minimum time, in milliseconds, for which a lower number has to be wanted before the target is
/// reduced. The time in which a replica becomes warm applies if it is longer.
const MIN_REDUCTION_DELAY_MS: u64 = 60_000;

/// Target of one pool.
#[derive(Debug, Clone)]
struct Target {
    schedule: Schedule,
    wanted: usize,
    /// Steady time, in milliseconds, since which the schedule wants fewer than `wanted`; `None` if
    /// it does not.
    fewer_since_ms: Option<u64>,
}

/// Targets of all pools.
#[derive(Debug, Clone, Default)]
pub(crate) struct Targets {
    by_pool: BTreeMap<PoolName, Target>,
    wall_clock: WallClockFilter,
}

impl Targets {
    /// Creates the targets of pools whose settings were checked. Every target is 0 until the first
    /// [`Targets::update`].
    pub(crate) fn new(settings: &PoolSettings) -> Targets {
        let target = |schedule| Target { schedule, wanted: 0, fewer_since_ms: None };
        let pools = settings.pools.iter();
        let by_pool = pools.filter_map(|(name, pool)| Some((name.clone(), target(Schedule::new(pool).ok()?))));
        Targets { by_pool: by_pool.collect(), wall_clock: WallClockFilter::default() }
    }

    /// Recomputes the targets for a steady and a wall time in milliseconds. `warm_up_ms` returns
    /// the time in which a replica of a pool becomes warm. Replicas are wanted that long before the
    /// window in which they are to be warm.
    pub(crate) fn update(&mut self, steady_ms: u64, wall_ms: u64, warm_up_ms: impl Fn(&str) -> u64) {
        let wall_ms = self.wall_clock.accept_reading(steady_ms, wall_ms);
        for (name, target) in &mut self.by_pool {
            let ahead_ms = warm_up_ms(name);
            let wanted = target.schedule.wanted_within(wall_ms, ahead_ms);
            if wanted >= target.wanted {
                target.wanted = wanted;
                target.fewer_since_ms = None;
                continue;
            }
            let since_ms = *target.fewer_since_ms.get_or_insert(steady_ms);
            if steady_ms >= since_ms + ahead_ms.max(MIN_REDUCTION_DELAY_MS) {
                target.wanted = wanted;
                target.fewer_since_ms = None;
            }
        }
    }

    /// Returns the number of replicas that a pool wants; 0 if the pool is not declared.
    pub(crate) fn wanted(&self, pool: &str) -> usize {
        self.by_pool.get(pool).map_or(0, |target| target.wanted)
    }
}
