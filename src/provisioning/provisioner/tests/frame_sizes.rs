//! Tests that messages between partitions fit into a frame, regardless of the number of machines.

use super::*;
use crate::transport::peer::{CapacityReport, MAX_FRAME_BYTES, PeerRequest, PeerResponse};

fn bytes<T: serde::Serialize>(message: &T) -> usize {
    let mut out = Vec::new();
    ciborium::into_writer(message, &mut out).unwrap();
    out.len()
}

/// Returns a simulation whose partition knows `count` idle machines, with names as long as clouds use them.
fn simulation_with_idle_machines(count: u64) -> Simulation {
    let mut simulation = Simulation::of(partition());
    for index in 0..count {
        let id = format!("instance-{index:027}");
        simulation.partition.heartbeat(&heartbeat(&id, 1, 1, 1, vec![]), StatusSource::Heartbeat, simulation.now);
    }
    while simulation.partition.next_commit(simulation.now, 1000).is_some() {
        simulation.partition.apply_commit_outcome(CommitOutcome::Done { revision: simulation.now }).unwrap();
    }
    simulation
}

// A frame that is too long is not sent: the provisioner would receive no more reports of this partition.
#[test]
fn a_capacity_report_with_six_thousand_idle_machines_fits_into_a_frame() {
    let mut simulation = simulation_with_idle_machines(6000);
    simulation.partition.schedule(simulation.now, simulation.now);
    let (capacity_report, _) =
        simulation.provisioner.plan_partition(&mut simulation.partition, &[], simulation.now, simulation.now);
    assert!(capacity_report.spare.len() > 1000, "{} ids in the report", capacity_report.spare.len());
    assert!(bytes(&PeerRequest::CapacityReport(capacity_report)) < MAX_FRAME_BYTES);
}

// An answer that is too long is not sent either: the partition would assume that no machines are pending.
#[test]
fn six_thousand_pending_machines_fit_into_a_frame_and_none_is_omitted() {
    let mut simulation = Simulation::of(partition());
    for index in 0..120 {
        let request = scale_out(["a", "b"][index % 2], 50);
        simulation.provisioner.pending_scale_outs.insert(format!("r-1-{index}"), PendingScaleOut::new(1, request));
    }
    let capacity_report =
        CapacityReport { partition: 1, lowest_bin: None, assumed: 0, wanted: Vec::new(), spare: Vec::new() };
    let (pending_machines, refused) = simulation.provisioner.handle_capacity_report(
        capacity_report,
        &simulation.partition,
        simulation.now,
        REPORT_TTL_MS,
    );
    assert_eq!(pending_machines.iter().map(|machines| machines.count).sum::<usize>(), 6000);
    assert_eq!(pending_machines.len(), 2, "one entry for each offering");
    assert!(bytes(&PeerResponse::PendingMachines { pending_machines, refused }) < MAX_FRAME_BYTES);
}

// The previous version counts each entry as one machine.
#[test]
fn few_pending_machines_are_listed_in_one_entry_each() {
    let mut simulation = Simulation::of(partition());
    let request = scale_out("a", 50);
    simulation.provisioner.pending_scale_outs.insert("r-1-1".into(), PendingScaleOut::new(1, request));
    let capacity_report =
        CapacityReport { partition: 1, lowest_bin: None, assumed: 0, wanted: Vec::new(), spare: Vec::new() };
    let (pending_machines, _) = simulation.provisioner.handle_capacity_report(
        capacity_report,
        &simulation.partition,
        simulation.now,
        REPORT_TTL_MS,
    );
    assert_eq!(pending_machines.len(), 50);
    assert!(pending_machines.iter().all(|machines| machines.count == 1));
}

// The cloud's protocol accepts at most 100 ids in one request to return machines.
#[test]
fn six_thousand_machines_are_returned_in_requests_of_at_most_one_hundred() {
    let mut simulation = Simulation::of(partition());
    let requests = simulation.provisioner.terminate((0..6000).map(|index| format!("host-{index:06}")));
    let sizes: Vec<usize> = requests
        .iter()
        .map(|request| if let CloudRequest::Terminate(hosts) = request { hosts.len() } else { 0 })
        .collect();
    assert_eq!((sizes.len(), sizes.iter().sum::<usize>()), (60, 6000));
    assert!(sizes.iter().all(|size| *size <= MAX_IDS_PER_TERMINATION));
}
