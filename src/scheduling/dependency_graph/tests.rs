//! Tests of the dependency graph.

use super::*;
use proptest::prelude::*;

fn ids(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| name.to_string()).collect()
}

#[test]
fn completing_the_last_dependency_makes_a_job_ready() {
    let mut graph = DependencyGraph::default();
    graph.add(2, ids(&["a", "b"]));
    graph.add(3, ids(&["a"]));
    assert_eq!(graph.complete("a"), [3]);
    assert_eq!(graph.dependencies(2).collect::<Vec<_>>(), ["b"]);
    assert_eq!(graph.complete("b"), [2]);
    assert!(graph.is_empty());
}

#[test]
fn a_removed_job_is_no_longer_a_dependent() {
    let mut graph = DependencyGraph::default();
    graph.add(2, ids(&["a", "b"]));
    assert_eq!(graph.remove(2).into_iter().collect::<Vec<_>>(), ["a", "b"]);
    assert_eq!((graph.dependents("a").count(), graph.complete("b")), (0, vec![]));
}

proptest! {
    /// Guards against one of the two maps keeping an edge that the other has dropped, after any sequence of
    /// additions, completions and removals.
    #[test]
    fn both_maps_hold_the_same_dependencies(steps in prop::collection::vec((0..3u8, 0..8usize, 0..8usize), 1..60)) {
        let mut graph = DependencyGraph::default();
        for (step, job, dependency) in steps {
            let dependency = dependency.to_string();
            match step {
                0 => graph.add(job, [dependency]),
                1 => _ = graph.complete(&dependency),
                _ => _ = graph.remove(job),
            }
            let pairs = |job: JobIndex| {
                graph.dependencies(job).map(move |id| (job, id.to_string())).collect::<Vec<_>>()
            };
            let by_job: BTreeSet<(JobIndex, String)> = graph.waiting().flat_map(pairs).collect();
            let by_dependency: BTreeSet<(JobIndex, String)> = graph
                .dependents
                .iter()
                .flat_map(|(id, jobs)| jobs.iter().map(move |job| (*job, id.clone())))
                .collect();
            prop_assert_eq!(by_job, by_dependency);
        }
    }
}
