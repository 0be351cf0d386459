//! What partitions tell each other fits into a frame, whatever the number of machines.

use super::*;
use crate::transport::peer::{CapacityReport, MAX_FRAME, PeerRequest, PeerResponse};

fn bytes<T: serde::Serialize>(message: &T) -> usize {
    let mut out = Vec::new();
    ciborium::into_writer(message, &mut out).unwrap();
    out.len()
}

/// A bench whose partition knows so many idle machines, with names as long as clouds use them.
fn bench_with_idle_machines(count: u64) -> Bench {
    let mut bench = Bench::of(partition());
    for n in 0..count {
        let id = format!("instance-{n:027}");
        bench.partition.heartbeat(&heartbeat(&id, 1, 1, 1, vec![]), StatusSource::Heartbeat, bench.now);
    }
    while bench.partition.next_commit(bench.now, 1000).is_some() {
        bench.partition.committed(CommitOutcome::Done { revision: bench.now }).unwrap();
    }
    bench
}

// A frame that is too long is not sent: the provisioner would never hear of this partition again.
#[test]
fn what_a_partition_with_six_thousand_idle_machines_tells_the_leader_fits_into_a_frame() {
    let mut bench = bench_with_idle_machines(6000);
    bench.partition.schedule(bench.now, bench.now);
    let (capacity_report, _) = bench.provisioner.plan_partition(&mut bench.partition, &[], bench.now, bench.now);
    assert!(capacity_report.spare.len() > 1000, "{} are told", capacity_report.spare.len());
    assert!(bytes(&PeerRequest::CapacityReport(capacity_report)) < MAX_FRAME);
}

// The same of the provisioner's answer: the partition would believe that nothing is on its way.
#[test]
fn six_thousand_machines_on_their_way_are_told_in_a_frame_and_none_is_lost() {
    let mut bench = Bench::of(partition());
    for n in 0..120 {
        let request = scale_out(["a", "b"][n % 2], 50);
        bench.provisioner.pending_scale_outs.insert(format!("r-1-{n}"), PendingScaleOut::new(1, request));
    }
    let capacity_report =
        CapacityReport { partition: 1, lowest_bin: None, assumed: 0, wanted: Vec::new(), spare: Vec::new() };
    let (pending_machines, refused) =
        bench.provisioner.answer_capacity_report(capacity_report, &bench.partition, bench.now, PATIENCE_MS);
    assert_eq!(pending_machines.iter().map(|machines| machines.count).sum::<usize>(), 6000);
    assert_eq!(pending_machines.len(), 2, "one entry a kind");
    assert!(bytes(&PeerResponse::PendingMachines { pending_machines, refused }) < MAX_FRAME);
}

// The version before counts each entry as one machine.
#[test]
fn few_machines_on_their_way_are_told_one_by_one() {
    let mut bench = Bench::of(partition());
    let request = scale_out("a", 50);
    bench.provisioner.pending_scale_outs.insert("r-1-1".into(), PendingScaleOut::new(1, request));
    let capacity_report =
        CapacityReport { partition: 1, lowest_bin: None, assumed: 0, wanted: Vec::new(), spare: Vec::new() };
    let (pending_machines, _) =
        bench.provisioner.answer_capacity_report(capacity_report, &bench.partition, bench.now, PATIENCE_MS);
    assert_eq!(pending_machines.len(), 50);
    assert!(pending_machines.iter().all(|machines| machines.count == 1));
}

// The protocol takes 100 names in a release.
#[test]
fn six_thousand_machines_are_released_in_requests_that_the_cloud_takes() {
    let mut bench = Bench::of(partition());
    let ops = bench.provisioner.terminate((0..6000).map(|n| format!("host-{n:06}")));
    let sizes: Vec<usize> =
        ops.iter().map(|op| if let CloudRequest::Terminate(hosts) = op { hosts.len() } else { 0 }).collect();
    assert_eq!((sizes.len(), sizes.iter().sum::<usize>()), (60, 6000));
    assert!(sizes.iter().all(|size| *size <= MAX_IDS_PER_TERMINATION));
}
