//! Tests of frames on a connection.

use super::*;
use std::time::Duration;
use tokio::io::duplex;
use tokio::time::sleep;

#[tokio::test]
async fn combined_frames_are_read_one_by_one() {
    let (near, far) = duplex(MAX_FRAME_BYTES);
    let (tx, rx) = mpsc::channel(8);
    let long = "x".repeat(3 * READ_BUFFER_BYTES);
    for (number, text) in [(1, "a"), (2, long.as_str()), (3, "c")] {
        tx.send(encode(number, text.to_string()).unwrap()).await.unwrap();
    }
    drop(tx);
    write_frames(Box::new(near), rx).await;
    let mut read = frame_reader(Box::new(far));
    for (number, text) in [(1, "a"), (2, long.as_str()), (3, "c")] {
        let frame: Frame<String> = read_frame(&mut read).await.unwrap();
        assert_eq!((frame.number, frame.message.as_deref()), (number, Some(text)));
    }
    assert!(read_frame::<String>(&mut read).await.is_none(), "the connection has ended");
}

#[tokio::test]
async fn a_frame_that_arrives_in_parts_is_read_once_complete() {
    let (mut near, far) = duplex(MAX_FRAME_BYTES);
    let mut read = frame_reader(Box::new(far));
    let bytes = encode(7, "text".to_string()).unwrap();
    let (first, rest) = bytes.split_at(6);
    let write = async {
        near.write_all(first).await.unwrap();
        sleep(Duration::from_millis(5)).await;
        near.write_all(rest).await.unwrap();
    };
    let (frame, ()) = tokio::join!(read_frame::<String>(&mut read), write);
    assert_eq!(frame.unwrap().message.as_deref(), Some("text"));
}
