//! Format version of the frames between controllers.
//!
//! During an upgrade, controllers of two versions run together. Each frame carries the format of its
//! sender in a field that the previous version ignores on receipt and does not send.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// Version number of the format of frames and records; a later format has a larger number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FrameFormat(u32);

impl FrameFormat {
    /// Format of the version whose frames carry no format field.
    pub const UNVERSIONED: FrameFormat = FrameFormat(0);
    /// Format that this version sends: includes dependencies between jobs.
    pub const CURRENT: FrameFormat = FrameFormat(1);

    /// Returns whether a controller with this format can read every message that this version may send.
    pub fn is_current(self) -> bool {
        self >= FrameFormat::CURRENT
    }
}

/// Format of the last frame received from a named peer; cheap to clone, and shared by its clones.
/// Each change is logged.
#[derive(Debug, Clone)]
pub struct PeerFormat {
    peer: Arc<str>,
    format: Arc<AtomicU32>,
}

/// Stored in place of a format number until the first frame of the peer is received.
const NO_FRAME_RECEIVED: u32 = u32::MAX;

impl PeerFormat {
    /// Creates the entry of a peer from which no frame has been received.
    pub fn new(peer: &str) -> PeerFormat {
        PeerFormat { peer: peer.into(), format: Arc::new(AtomicU32::new(NO_FRAME_RECEIVED)) }
    }

    /// Records that a frame in `format` was received from the peer.
    pub fn record_frame(&self, format: FrameFormat) {
        if self.format.swap(format.0, Ordering::Relaxed) != format.0 {
            tracing::info!(
                peer = %self.peer,
                format = format.0,
                current = format.is_current(),
                "frame format of the controller detected"
            );
        }
    }

    /// Returns the format of the last frame of the peer; `None` if no frame has been received.
    pub fn get(&self) -> Option<FrameFormat> {
        Some(self.format.load(Ordering::Relaxed)).filter(|format| *format != NO_FRAME_RECEIVED).map(FrameFormat)
    }

    /// Returns whether the peer is known to run an earlier version; `false` if its format is unknown.
    pub fn is_earlier_version(&self) -> bool {
        self.get().is_some_and(|format| !format.is_current())
    }

    /// Returns whether the peer is known to read every message that this version may send; `false` if
    /// its format is unknown.
    pub fn is_current(&self) -> bool {
        self.get().is_some_and(FrameFormat::is_current)
    }
}
