//! Minimal HTTP/1.1 server and client, which share the framing of messages.

mod client;
mod framing;
mod idle;
mod message;
mod pool;
mod server;

pub use client::{CallError, Client, DEFAULT_MAX_IDLE_CONNECTIONS};
pub use message::{MAX_BODY_BYTES, Request, Response};
pub use server::{ConnectionMetrics, serve, serve_counted};

#[cfg(test)]
mod tests;
