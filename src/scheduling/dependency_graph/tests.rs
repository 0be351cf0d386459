//! Tests of the dependency graph.

use super::*;
use proptest::prelude::*;

fn ids(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

#[test]
fn a_job_is_ready_once_its_last_predecessor_is_done() {
    let mut graph = DependencyGraph::default();
    graph.add(2, ids(&["a", "b"]));
    graph.add(3, ids(&["a"]));
    assert_eq!(graph.complete("a"), [3]);
    assert_eq!(graph.dependencies(2).collect::<Vec<_>>(), ["b"]);
    assert_eq!(graph.complete("b"), [2]);
    assert!(graph.is_empty());
}

#[test]
fn a_removed_job_is_nobody_s_dependent() {
    let mut graph = DependencyGraph::default();
    graph.add(2, ids(&["a", "b"]));
    assert_eq!(graph.remove(2).into_iter().collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!((graph.dependents("a").count(), graph.complete("b")), (0, vec![]));
}

proptest! {
    /// Whatever is completed or removed, both directions tell the same dependencies.
    #[test]
    fn both_directions_agree(steps in prop::collection::vec((0..3u8, 0..8usize, 0..8usize), 1..60)) {
        let mut graph = DependencyGraph::default();
        for (step, job, dependency) in steps {
            let dependency = dependency.to_string();
            match step {
                0 => graph.add(job, [dependency]),
                1 => _ = graph.complete(&dependency),
                _ => _ = graph.remove(job),
            }
            let pairs = |job: JobIndex| graph.dependencies(job).map(move |p| (job, p.to_string())).collect::<Vec<_>>();
            let down: BTreeSet<(JobIndex, String)> = graph.waiting().flat_map(pairs).collect();
            let up: BTreeSet<(JobIndex, String)> = graph
                .dependents
                .iter()
                .flat_map(|(p, jobs)| jobs.iter().map(move |job| (*job, p.clone())))
                .collect();
            prop_assert_eq!(down, up);
        }
    }
}
