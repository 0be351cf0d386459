//! A controller that gives prepared answers over the protocol between controllers: frames of four
//! bytes with the length, and a numbered message in CBOR.

use serde_json::{Value, json};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};

/// A controller that gives prepared answers.
pub struct FakeController {
    pub address: SocketAddr,
    requests: Arc<Mutex<Vec<Value>>>,
}

impl FakeController {
    /// Answers the requests on each connection with these, in order.
    pub fn start(answers: Vec<Value>) -> FakeController {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let heard = requests.clone();
        std::thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                // An error is the end of the connection.
                let _ = serve(connection, &answers, &heard);
            }
        });
        FakeController { address, requests }
    }

    /// The requests so far.
    pub fn requests(&self) -> Vec<Value> {
        self.requests.lock().unwrap().clone()
    }
}

fn serve(mut connection: TcpStream, answers: &[Value], heard: &Mutex<Vec<Value>>) -> std::io::Result<()> {
    for answer in answers {
        let request = read_frame(&mut connection)?;
        heard.lock().unwrap().push(request["body"].clone());
        let mut body = Vec::new();
        ciborium::into_writer(&json!({"n": request["n"], "body": answer, "format": 1}), &mut body).unwrap();
        connection.write_all(&(body.len() as u32).to_be_bytes())?;
        connection.write_all(&body)?;
    }
    // The connection stays open until the program ends.
    connection.read_to_end(&mut Vec::new()).map(|_| ())
}

fn read_frame(connection: &mut TcpStream) -> std::io::Result<Value> {
    let mut length = [0; 4];
    connection.read_exact(&mut length)?;
    let mut body = vec![0; u32::from_be_bytes(length) as usize];
    connection.read_exact(&mut body)?;
    Ok(ciborium::from_reader(body.as_slice()).unwrap())
}
