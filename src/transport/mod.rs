//! Network transport: connections, HTTP/1.1, and the frame protocol between controllers.

pub mod frame_format;
pub mod http;
pub mod network;
pub mod peer;
pub mod peer_health;
