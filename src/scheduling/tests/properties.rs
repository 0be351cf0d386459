//! Rules that hold of every cycle, whatever waits and runs.

use super::*;
use std::collections::HashMap;

fn any_spec(n: usize) -> impl Strategy<Value = Spec> {
    let shape = prop_oneof![Just(Shape::Batch), Just(Shape::Gang), Just(Shape::Service)];
    let urgency =
        prop_oneof![Just(Urgency::Low), Just(Urgency::Normal), Just(Urgency::High), Just(Urgency::Production)];
    let flags = (any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>(), any::<bool>());
    (shape, urgency, 1u32..6, 0u32..5, flags, 1.0f64..90.0).prop_map(move |(shape, urgency, tasks, gpus, f, due)| {
        let mut s = spec(&format!("run-{n:06}"), shape, tasks, f64::from(gpus));
        s.urgency = urgency;
        (s.one_zone, s.spread, s.spot) = (f.0, f.1 && !f.0, f.2);
        s.team = if f.3 { "red" } else { "blue" }.into();
        s.zone = f.4.then(|| "a".to_string());
        s.due_s = Some(due);
        s
    })
}

/// Where the index that a cycle kept differs from one that was counted anew.
fn index_difference(kept: &Index, counted: &Index, jobs: usize) -> Option<String> {
    let near =
        |a: &Demand, b: &Demand| (a.cpus - b.cpus).abs() + (a.gpus - b.gpus).abs() + (a.mem - b.mem).abs() < 1e-6;
    for (i, (a, b)) in kept.hosts.iter().zip(&counted.hosts).enumerate() {
        if !near(&a.free, &b.free) || !near(&a.reserved, &b.reserved) || a.reservations != b.reservations {
            return Some(format!("machine {i}: {a:?}, counted {b:?}"));
        }
    }
    for (name, a, b) in [("usage", &kept.usage, &counted.usage), ("staying", &kept.staying, &counted.staying)] {
        for team in a.keys().chain(b.keys()) {
            let of = |sums: &HashMap<String, Demand>| sums.get(team).copied().unwrap_or_default();
            if !near(&of(a), &of(b)) {
                return Some(format!("{name} of {team}: {:?}, counted {:?}", of(a), of(b)));
            }
        }
    }
    let differs = |job: &usize| {
        kept.counts(*job) != counted.counts(*job) || kept.reservations_of(*job) != counted.reservations_of(*job)
    };
    let job = (0..jobs).find(differs)?;
    Some(format!("job {job}: {:?}, counted {:?}", kept.counts(job), counted.counts(job)))
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn whatever_is_asked_the_rules_hold(
        specs in prop::collection::vec(any_spec(0), 1..14),
        hosts in prop::collection::vec((any::<bool>(), any::<bool>()), 1..6),
        gone in prop::collection::vec((0usize..40, any::<bool>()), 0..12),
    ) {
        let hosts: Vec<(&str, bool)> = hosts.iter().map(|(z, s)| (if *z { "a" } else { "b" }, *s)).collect();
        let mut w = cluster(&hosts);
        for (i, mut s) in specs.into_iter().enumerate() {
            s.id = format!("run-{i:06}");
            add(&mut w, s, i as u64 * 700);
        }
        let p = policy();
        let mut gone = gone.into_iter();
        for round in 1..8u64 {
            let now = round * 2000;
            let mut n = 1000 * now;
            let (out, kept) = cycle::schedule_with_index(&mut w, &p, now, now, Urgency::Low, || {
                n += 1;
                n
            });
            let counted = Index::new(&w, now);
            prop_assert!(index_difference(&kept, &counted, w.jobs.len()).is_none(), "{:?}", index_difference(&kept, &counted, w.jobs.len()));
            for s in &out.starts {
                let spec = &w.jobs[s.key.job].spec;
                let h = w.host(s.host).unwrap();
                prop_assert!(spec.spot || !h.spot);
                prop_assert!(spec.allows_zone(&h.zone));
            }
            for free in counted.hosts.iter().map(|s| s.free) {
                prop_assert!(free.cpus > -1e-6 && free.gpus > -1e-6 && free.mem > -1e-6);
            }
            for (team, used) in Index::new(&w, 0).usage {
                prop_assert!(used.fits(&p.teams[&team].limit), "{} uses {:?}", team, used);
            }
            for (job_index, job) in w.jobs.iter().enumerate() {
                let mut zones: BTreeMap<&str, u32> = BTreeMap::new();
                for (_, h) in w.each_host() {
                    let n = h.attempts.iter().filter(|c| c.key.job == job_index).count() as u32;
                    if n > 0 {
                        *zones.entry(&h.zone).or_default() += n;
                    }
                }
                prop_assert!(zones.values().all(|n| *n <= job.spec.zone_limit()));
                prop_assert!(!job.spec.one_zone || zones.len() < 2);
                let started = out.starts.iter().filter(|s| s.key.job == job_index).count() as u32;
                prop_assert!(job.spec.shape != Shape::Gang || started == 0 || started == job.spec.tasks);
            }
            // What is stopped goes; some of the rest ends by itself.
            let mut ended: Vec<(HostIndex, TaskKey)> = out.stops.iter().map(|s| (s.host, s.key)).collect();
            if let Some((n, _)) = gone.next() {
                ended.extend(w.each_host().flat_map(|(i, h)| h.attempts.iter().map(move |c| (i, c.key))).nth(n));
            }
            for (host_index, key) in ended {
                w.host_mut(host_index).unwrap().attempts.retain(|c| c.key != key);
                w.jobs[key.job].tasks[key.task as usize].place = Place::Idle;
            }
        }
    }
}
