//! As much HTTP/1.1 as the stand-ins of discovery and of an endpoint need: requests with a length, connections that stay.

use std::io;
use std::net::SocketAddr;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// Connections that wait to be accepted: a fleet connects all at once.
const BACKLOG: u32 = 4_096;
/// Long bodies are written in parts of so many bytes.
const PART: usize = 65_536;

/// A request as it came; its body is read and dropped.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// Path and query.
    pub target: String,
}

/// One accepted connection.
pub struct Connection {
    stream: BufReader<TcpStream>,
    /// Bytes written so far, also those of answers that were broken off.
    written: u64,
}

impl Connection {
    /// Takes over an accepted stream.
    pub fn new(stream: TcpStream) -> Connection {
        stream.set_nodelay(true).ok();
        Connection { stream: BufReader::new(stream), written: 0 }
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

    /// Answers with a status line such as `200 OK` and a body.
    pub async fn answer(&mut self, status: &str, body: &[u8]) -> io::Result<()> {
        let head = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n\r\n", body.len());
        // A short answer goes in one segment, a long one is not copied.
        if body.len() < PART {
            return self.write(&[head.as_bytes(), body].concat()).await;
        }
        self.write(head.as_bytes()).await?;
        for part in body.chunks(PART) {
            self.write(part).await?;
        }
        Ok(())
    }

    async fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes).await?;
        self.stream.flush().await?;
        self.written += bytes.len() as u64;
        Ok(())
    }

    /// Bytes written since this was last asked.
    pub fn take_written(&mut self) -> u64 {
        std::mem::take(&mut self.written)
    }
}

/// Listens with a long queue.
pub fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    socket.listen(BACKLOG)
}
