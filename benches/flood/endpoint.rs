//! An endpoint that serves every call.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::spawn;

/// What it has served.
#[derive(Default)]
pub struct Endpoint {
    /// Calls by the ids of their messages.
    pub served: Mutex<BTreeMap<String, u32>>,
}

/// The head of a call, as far as it is of interest.
struct Head {
    id: String,
    content_length: usize,
}

impl Endpoint {
    /// Listens on a port of its own: each connection carries one call after another.
    pub fn serve(self: &Arc<Endpoint>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port for the endpoint");
        let address = listener.local_addr().expect("its address");
        let endpoint = self.clone();
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let endpoint = endpoint.clone();
                spawn(move || endpoint.serve_connection(stream));
            }
        });
        address
    }

    /// Serves calls until the connection ends.
    fn serve_connection(&self, mut stream: TcpStream) -> Option<()> {
        let mut input = BufReader::new(stream.try_clone().expect("a second handle"));
        loop {
            let head = read_head(&mut input)?;
            input.read_exact(&mut vec![0; head.content_length]).ok()?;
            *self.served.lock().unwrap().entry(head.id).or_default() += 1;
            stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n").ok()?;
        }
    }
}

/// Reads up to the empty line; none where the connection ends before it.
fn read_head(input: &mut impl BufRead) -> Option<Head> {
    let mut head = Head { id: String::new(), content_length: 0 };
    loop {
        let mut line = String::new();
        if input.read_line(&mut line).unwrap_or(0) == 0 {
            return None;
        }
        let (name, value) = line.split_once(':').unwrap_or((&line, ""));
        match name.to_ascii_lowercase().as_str() {
            "x-request-id" => head.id = value.trim().to_string(),
            "content-length" => head.content_length = value.trim().parse().unwrap_or(0),
            "\r\n" => return Some(head),
            _ => {}
        }
    }
}
