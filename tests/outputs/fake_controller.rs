//! A controller that gives prepared answers over the protocol between controllers. A frame is a length of four bytes
//! followed by a numbered message in CBOR.

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
    /// Starts a controller that answers the requests on each connection with these values, in order.
    pub fn start(answers: Vec<Value>) -> FakeController {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(Mutex::new(Vec::new()));
        let received = requests.clone();
        std::thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                // An error means that the client has closed the connection.
                let _ = serve(connection, &answers, &received);
            }
        });
        FakeController { address, requests }
    }

    /// Returns the requests received so far.
    pub fn requests(&self) -> Vec<Value> {
        self.requests.lock().unwrap().clone()
    }
}

fn serve(mut connection: TcpStream, answers: &[Value], received: &Mutex<Vec<Value>>) -> std::io::Result<()> {
    for answer in answers {
        let request = read_frame(&mut connection)?;
        received.lock().unwrap().push(request["body"].clone());
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
