//! The format that a controller speaks, as its frames name it.
//!
//! While an upgrade is under way controllers of two versions serve together. A frame names
//! the format of its sender in a field that the version before ignores and leaves out.

use serde::{Deserialize, Serialize};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

/// A format of frames and records; a later one has a larger number.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub struct FrameFormat(u32);

impl FrameFormat {
    /// The format of the version that names none in its frames.
    pub const UNNAMED: FrameFormat = FrameFormat(0);
    /// The format that this version speaks: with jobs that wait for others.
    pub const CURRENT: FrameFormat = FrameFormat(1);

    /// Whether its speaker can read all that this version may send.
    pub fn is_current(self) -> bool {
        self >= FrameFormat::CURRENT
    }
}

/// What is known of the format that a named peer speaks: that of its last frame; cheap to
/// clone. Logs the changes.
#[derive(Debug, Clone)]
pub struct PeerFormat {
    peer: Arc<str>,
    format: Arc<AtomicU32>,
}

/// Stands for a peer from which no frame has come.
const NO_FRAME_RECEIVED: u32 = u32::MAX;

impl PeerFormat {
    /// Nothing is known of this peer yet.
    pub fn new(peer: &str) -> PeerFormat {
        PeerFormat { peer: peer.into(), format: Arc::new(AtomicU32::new(NO_FRAME_RECEIVED)) }
    }

    /// A frame in this format has come from the peer.
    pub fn received(&self, format: FrameFormat) {
        if self.format.swap(format.0, Ordering::Relaxed) != format.0 {
            tracing::info!(peer = %self.peer, format = format.0, current = format.is_current(), "version of the controller");
        }
    }

    /// The format of the peer's last frame; `None` if none has come.
    pub fn get(&self) -> Option<FrameFormat> {
        Some(self.format.load(Ordering::Relaxed)).filter(|format| *format != NO_FRAME_RECEIVED).map(FrameFormat)
    }

    /// Whether the peer is known to be of an earlier version.
    pub fn is_old(&self) -> bool {
        self.get().is_some_and(|format| !format.is_current())
    }

    /// Whether the peer is known to read all that this version may send.
    pub fn is_current(&self) -> bool {
        self.get().is_some_and(FrameFormat::is_current)
    }
}
