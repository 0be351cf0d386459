//! Lists of machines in messages between partitions, kept short enough for a frame.

use crate::transport::peer::{MAX_FRAME, Machines};

/// Part of a frame that a list may take; the rest is for what is around it.
const LIST_PART: usize = 2;
/// Bytes that encode the length of a name in a list.
const LENGTH_BYTES: usize = 5;
/// Bytes of an entry about machines besides its names: those of its fields, and its numbers.
const MACHINES_ENTRY_BYTES: usize = 48;

/// The first of the names that fit into a frame. The others are sent in a later round, once
/// these are in use or gone.
pub(super) fn names_for_frame(names: Vec<String>) -> Vec<String> {
    let mut left = MAX_FRAME / LIST_PART;
    let fits = |name: &String| {
        let bytes = name.len() + LENGTH_BYTES;
        let fits = bytes <= left;
        left = left.saturating_sub(bytes);
        fits
    };
    names.into_iter().take_while(fits).collect()
}

/// The machines, one an entry where that fits into a frame: the version before counts each
/// entry as one machine. Else those of a kind are one entry.
pub(super) fn machines_for_frame(machines: Vec<Machines>) -> Vec<Machines> {
    let bytes = |entry: &Machines| entry.instance_type.len() + entry.zone.len() + MACHINES_ENTRY_BYTES;
    if machines.iter().map(bytes).sum::<usize>() <= MAX_FRAME / LIST_PART {
        return machines;
    }
    let mut by_kind: Vec<Machines> = Vec::new();
    for machine in machines {
        let same = |entry: &&mut Machines| {
            entry.instance_type == machine.instance_type && entry.zone == machine.zone && entry.spot == machine.spot
        };
        match by_kind.iter_mut().find(same) {
            Some(entry) => entry.count += machine.count,
            None => by_kind.push(machine),
        }
    }
    by_kind
}
