//! As much HTTP/1.1 as the stand-ins of discovery and of an endpoint need: requests with a length, connections that stay.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that wait to be accepted: a fleet connects all at once.
const BACKLOG: u32 = 4_096;

/// A request as it came; its body is read and dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Path and query.
    pub target: String,
}

/// One accepted connection.
pub struct Connection {
    stream: BufReader<TcpStream>,
}

impl Connection {
    /// Takes over an accepted stream.
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).ok();
        Connection { stream: BufReader::new(stream) }
    }

    /// The next request; none when the other side has closed.
    pub async fn request(&mut self) -> Option<Request> {
        let mut line = String::new();
        if self.stream.read_line(&mut line).await.ok()? == 0 {
            return None;
        }
        let target = line.split(' ').nth(1)?.to_string();
        let mut length = 0;
        loop {
            line.clear();
            self.stream.read_line(&mut line).await.ok()?;
            let header = line.trim_end().to_ascii_lowercase();
            if header.is_empty() {
                break;
            }
            if let Some(said) = header.strip_prefix("content-length:") {
                length = said.trim().parse::<u64>().ok()?;
            }
        }
        let mut body = (&mut self.stream).take(length);
        tokio::io::copy(&mut body, &mut tokio::io::sink()).await.ok()?;
        Some(Request { target })
    }

    /// Answers with a status line such as `200 OK` and a body; says how many bytes that took.
    pub async fn answer(&mut self, status: &str, body: &[u8]) -> io::Result<u64> {
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
        // A short answer goes in one segment, a long one is not copied.
        if body.len() < 16_384 {
            self.stream.write_all(&[head.as_bytes(), body].concat()).await?;
        } else {
            self.stream.write_all(head.as_bytes()).await?;
            self.stream.write_all(body).await?;
        }
        self.stream.flush().await?;
        Ok((head.len() + body.len()) as u64)
    }
}

/// Listens with a long queue.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}
