//! How bytes travel: the network, HTTP, and frames between controllers.

pub mod frame_format;
pub mod http;
pub mod network;
pub mod peer;
pub mod peer_health;
