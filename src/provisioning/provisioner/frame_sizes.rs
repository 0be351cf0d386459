//! Limits on the lists of machines in messages between partitions, so that a message fits into a frame.

use crate::transport::peer::{MAX_FRAME_BYTES, MachineGroup};

/// Divisor of the frame size that gives the size limit of a list; the rest of the frame is for the other
/// parts of the message.
const LIST_FRAME_DIVISOR: usize = 2;
/// Number of bytes reserved for the encoded length of a name in a list.
const LENGTH_BYTES: usize = 5;
/// Number of bytes reserved in an entry about machines besides its names: field names and numbers.
const MACHINES_ENTRY_BYTES: usize = 48;

/// Returns the longest prefix of the names that fits into a frame. The other names are sent in a later
/// round, once these machines are in use or gone.
pub(super) fn truncate_names_to_frame(names: Vec<String>) -> Vec<String> {
    let mut left_bytes = MAX_FRAME_BYTES / LIST_FRAME_DIVISOR;
    let fits = |name: &String| {
        let bytes = name.len() + LENGTH_BYTES;
        let fits = bytes <= left_bytes;
        left_bytes = left_bytes.saturating_sub(bytes);
        fits
    };
    names.into_iter().take_while(fits).collect()
}

/// Returns the machines unchanged if they fit into a frame, as the previous version counts each entry as
/// one machine. Otherwise it merges the entries of the same offering.
pub(super) fn merge_machines_to_frame(machines: Vec<MachineGroup>) -> Vec<MachineGroup> {
    let bytes = |entry: &MachineGroup| entry.instance_type.len() + entry.zone.len() + MACHINES_ENTRY_BYTES;
    if machines.iter().map(bytes).sum::<usize>() <= MAX_FRAME_BYTES / LIST_FRAME_DIVISOR {
        return machines;
    }
    let mut by_offering: Vec<MachineGroup> = Vec::new();
    for machine in machines {
        let is_same_offering = |entry: &&mut MachineGroup| {
            entry.instance_type == machine.instance_type && entry.zone == machine.zone && entry.spot == machine.spot
        };
        match by_offering.iter_mut().find(is_same_offering) {
            Some(entry) => entry.count += machine.count,
            None => by_offering.push(machine),
        }
    }
    by_offering
}
