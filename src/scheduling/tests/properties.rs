//! Property tests: rules that each scheduling cycle keeps for any jobs and machines.

use super::*;
use std::collections::HashMap;

/// Generates job descriptions with the id of this number.
fn any_spec(number: usize) -> impl Strategy<Value = Spec> {
    let shape = prop_oneof![Just(Shape::Batch), Just(Shape::Gang), Just(Shape::Service)];
    let urgency =
        prop_oneof![Just(Urgency::Low), Just(Urgency::Normal), Just(Urgency::High), Just(Urgency::Production)];
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    (shape, urgency, 1u32..6, 0u32..5, flags, 1.0f64..90.0).prop_map(
        move |(shape, urgency, tasks, gpus, flags, due_s)| {
            let mut spec = spec(&format!("run-{number:06}"), shape, tasks, f64::from(gpus));
            spec.urgency = urgency;
            (spec.one_zone, spec.spread, spec.spot) = (flags.0, flags.1 && !flags.0, flags.2);
            spec.team = if flags.3 { "red" } else { "blue" }.into();
            spec.zone = flags.4.then(|| "a".to_string());
            spec.due_s = Some(due_s);
            spec
        },
    )
}

/// Returns a description of the first difference between the index that a cycle updated and a newly computed
/// one; `None` if they are equal.
fn index_difference(kept: &CapacityIndex, computed: &CapacityIndex, jobs: usize) -> Option<String> {
    let near = |left: &Demand, right: &Demand| {
        (left.cpus - right.cpus).abs() + (left.gpus - right.gpus).abs() + (left.mem - right.mem).abs() < 1e-6
    };
    for (host_index, (kept, computed)) in kept.hosts.iter().zip(&computed.hosts).enumerate() {
        if !near(&kept.free, &computed.free)
            || !near(&kept.reserved, &computed.reserved)
            || kept.reservations != computed.reservations
        {
            return Some(format!("machine {host_index}: {kept:?}, computed {computed:?}"));
        }
    }
    for (name, kept, computed) in [
        ("usage", &kept.usage, &computed.usage),
        ("usage_after_stops", &kept.usage_after_stops, &computed.usage_after_stops),
    ] {
        for team in kept.keys().chain(computed.keys()) {
            let of_team = |totals: &HashMap<String, Demand>| totals.get(team).copied().unwrap_or_default();
            if !near(&of_team(kept), &of_team(computed)) {
                return Some(format!("{name} of {team}: {:?}, computed {:?}", of_team(kept), of_team(computed)));
            }
        }
    }
    let differs = |job: &usize| {
        kept.tasks_by_zone(*job) != computed.tasks_by_zone(*job)
            || kept.reservations_of(*job) != computed.reservations_of(*job)
    };
    let job = (0..jobs).find(differs)?;
    Some(format!("job {job}: {:?}, computed {:?}", kept.tasks_by_zone(job), computed.tasks_by_zone(job)))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
    // Guards against placements that break the constraints of a job, the limit of a team or the capacity of a
    // machine, and against an index that drifts from the cluster state within a cycle.
    #[test]
    fn cycles_keep_constraints_limits_and_the_index_for_any_jobs(
        specs in prop::collection::vec(any_spec(0), 1..14),
        hosts in prop::collection::vec((any::<bool>(), any::<bool>()), 1..6),
        ends in prop::collection::vec((0usize..40, any::<bool>()), 0..12),
    ) {
        let hosts: Vec<(&str, bool)> =
            hosts.iter().map(|(in_a, spot)| (if *in_a { "a" } else { "b" }, *spot)).collect();
        let mut state = cluster(&hosts);
        for (number, mut spec) in specs.into_iter().enumerate() {
            spec.id = format!("run-{number:06}");
            add_job(&mut state, spec, number as u64 * 700);
        }
        let policy = policy();
        let mut ends = ends.into_iter();
        for round in 1..8u64 {
            let now = round * 2000;
            let mut attempt = 1000 * now;
            let (decisions, kept) = cycle::schedule_with_index(&mut state, &policy, now, now, Urgency::Low, || {
                attempt += 1;
                attempt
            });
            let computed = CapacityIndex::new(&state, now);
            prop_assert!(
                index_difference(&kept, &computed, state.jobs.len()).is_none(),
                "{:?}",
                index_difference(&kept, &computed, state.jobs.len())
            );
            for start in &decisions.starts {
                let spec = &state.jobs[start.key.job].spec;
                let host = state.host(start.host).unwrap();
                prop_assert!(spec.spot || !host.spot);
                prop_assert!(spec.allows_zone(&host.zone));
            }
            for free in computed.hosts.iter().map(|host_info| host_info.free) {
                prop_assert!(free.cpus > -1e-6 && free.gpus > -1e-6 && free.mem > -1e-6);
            }
            for (team, used) in CapacityIndex::new(&state, 0).usage {
                prop_assert!(used.fits(&policy.teams[&team].limit), "{} uses {:?}", team, used);
            }
            for (job_index, job) in state.jobs.iter().enumerate() {
                let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
                for (_, host) in state.each_host() {
                    let tasks = host.attempts.iter().filter(|attempt| attempt.key.job == job_index).count() as u32;
                    if tasks > 0 {
                        *zones.entry(&host.zone).or_default() += tasks;
                    }
                }
                prop_assert!(zones.values().all(|tasks| *tasks <= job.spec.zone_limit()));
                prop_assert!(!job.spec.one_zone || zones.len() < 2);
                let started = decisions.starts.iter().filter(|start| start.key.job == job_index).count() as u32;
                prop_assert!(job.spec.shape != Shape::Gang || started == 0 || started == job.spec.tasks);
            }
            // Stopped attempts are removed, and one further attempt ends by itself.
            let mut ended: Vec<(HostIndex, TaskKey)> =
                decisions.stops.iter().map(|stop| (stop.host, stop.key)).collect();
            if let Some((position, _)) = ends.next() {
                ended.extend(
                    state
                        .each_host()
                        .flat_map(|(host_index, host)| {
                            host.attempts.iter().map(move |attempt| (host_index, attempt.key))
                        })
                        .nth(position)
                );
            }
            for (host_index, key) in ended {
                state.host_mut(host_index).unwrap().attempts.retain(|attempt| attempt.key != key);
                state.jobs[key.job].tasks.update(key.task, |task| task.place = Place::Idle);
            }
        }
    }
}
