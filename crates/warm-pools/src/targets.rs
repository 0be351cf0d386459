//! How many replicas each pool wants now.

use crate::calendar::Schedule;
use crate::settings::{PoolName, PoolSettings};
use crate::wall_clock::AcceptedTime;
use std::collections::BTreeMap;

/// Fewer replicas are wanted only once that has held for as long as warming one up takes, and in
/// any case for this long.
const LEAST_PATIENCE_MS: u64 = 60_000;

/// What a pool wants, and since when it could do with less.
#[derive(Debug, Clone)]
struct Target {
    schedule: Schedule,
    wanted: usize,
    fewer_since_ms: Option<u64>,
}

/// The targets of all pools.
#[derive(Debug, Clone, Default)]
pub(crate) struct Targets {
    by_pool: BTreeMap<PoolName, Target>,
    time: AcceptedTime,
}

impl Targets {
    /// The targets of pools that were checked; none is wanted before the first refresh.
    pub(crate) fn new(settings: &PoolSettings) -> Targets {
        let target = |schedule| Target { schedule, wanted: 0, fewer_since_ms: None };
        let pools = settings.pools.iter();
        let by_pool = pools.filter_map(|(name, pool)| Some((name.clone(), target(Schedule::new(pool).ok()?))));
        Targets { by_pool: by_pool.collect(), time: AcceptedTime::default() }
    }

    /// Looks at the time of day. `warm_up_ms` tells how long a replica of a pool takes until it
    /// is warm: it is begun with as long before it is wanted.
    pub(crate) fn update(&mut self, steady_ms: u64, wall_ms: u64, warm_up_ms: impl Fn(&str) -> u64) {
        let wall_ms = self.time.at(steady_ms, wall_ms);
        for (name, target) in &mut self.by_pool {
            let ahead_ms = warm_up_ms(name);
            let wanted = target.schedule.wanted_within(wall_ms, ahead_ms);
            if wanted >= target.wanted {
                target.wanted = wanted;
                target.fewer_since_ms = None;
                continue;
            }
            let since_ms = *target.fewer_since_ms.get_or_insert(steady_ms);
            if steady_ms >= since_ms + ahead_ms.max(LEAST_PATIENCE_MS) {
                target.wanted = wanted;
                target.fewer_since_ms = None;
            }
        }
    }

    /// How many replicas a pool wants.
    pub(crate) fn wanted(&self, pool: &str) -> usize {
        self.by_pool.get(pool).map_or(0, |target| target.wanted)
    }
}
