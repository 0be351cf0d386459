//! Server for the requests of other controllers.

use super::frames::{encode, frame_reader, read_frame, write_frames};
use super::messages::{PeerRequest, PeerResponse};
use crate::runtime::task;
use crate::transport::frame_format::FrameFormat;
use crate::transport::network::{Listener, Stream};
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;

/// Capacity of the queue of responses to be written on a connection.
const MAX_QUEUED_RESPONSES: usize = 64;
/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Serves the requests of other controllers; never returns. Requests of one connection are handled
/// concurrently, so that a slow request does not delay later ones such as pledges.
pub async fn serve<H, F>(listener: impl Listener, handler: H)
where
    H: Fn(PeerRequest, FrameFormat) -> F + Send + Sync + 'static,
    F: Future<Output = PeerResponse> + Send + 'static,
{
    let handler = Arc::new(handler);
    loop {
        match listener.accept().await {
            Ok(stream) => serve_connection(stream, handler.clone()),
            Err(_) => tokio::time::sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
}

/// Starts the tasks of a connection. They end when the connection has ended and its last request has been
/// answered.
fn serve_connection<H, F>(stream: Box<dyn Stream>, handler: Arc<H>)
where
    H: Fn(PeerRequest, FrameFormat) -> F + Send + Sync + 'static,
    F: Future<Output = PeerResponse> + Send + 'static,
{
    let (read, write) = stream.halves();
    let mut read = frame_reader(read);
    let (responses, queued) = mpsc::channel::<Vec<u8>>(MAX_QUEUED_RESPONSES);
    task::spawn(write_frames(write, queued));
    task::spawn(async move {
        while let Some(frame) = read_frame::<PeerRequest>(&mut read).await {
            let (handler, responses) = (handler.clone(), responses.clone());
            task::spawn(async move {
                let response = match frame.message {
                    Some(request) => handler(request, frame.format).await,
                    // The request is of a kind that this version does not know.
                    None => PeerResponse::Rejected,
                };
                if let Some(encoded) = encode(frame.number, response.readable_in(frame.format)) {
                    // Fails if the connection has ended; the sender of the request gets no response.
                    let _ = responses.send(encoded).await;
                }
            });
        }
    });
}
