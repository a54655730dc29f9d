//! The PROXY protocol, versions 1 and 2: a trusted front's word on whose connection it passes on.

use super::network::{Kept, Stream};
use bytes::{Bytes, BytesMut};
use ppp::{v1, v2, HeaderResult, PartialResult};
use std::net::IpAddr;
use tokio::io::AsyncReadExt;

/// Most bytes of a header, with all that version 2 may add to it.
const MOST: usize = 4 * 1024;
/// A first version's line is over by then.
const LINE_MOST: usize = 107;

/// What a header says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Introduced {
    /// The connection of this client.
    Client(IpAddr),
    /// The front's own, such as its health call.
    Front,
}

/// What stands there is no header and never will be one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NoHeader;

/// Reads the header in `bytes`: what it says and how long it is; `None` while it is not whole, an error if it
/// never will be one.
pub fn header(bytes: &[u8]) -> Result<Option<(Introduced, usize)>, NoHeader> {
    let result = HeaderResult::parse(bytes);
    let line_over = bytes.starts_with(b"PROXY") && (bytes.len() > LINE_MOST || bytes.contains(&b'\n'));
    match result {
        HeaderResult::V1(Ok(header)) => {
            let introduced = match header.addresses {
                v1::Addresses::Tcp4(a) => Introduced::Client(a.source_address.into()),
                v1::Addresses::Tcp6(a) => Introduced::Client(a.source_address.into()),
                v1::Addresses::Unknown => Introduced::Front,
            };
            Ok(Some((introduced, header.header.len())))
        }
        HeaderResult::V2(Ok(header)) => {
            let introduced = match (header.command, header.addresses) {
                (v2::Command::Local, _) => Introduced::Front,
                (_, v2::Addresses::IPv4(a)) => Introduced::Client(a.source_address.into()),
                (_, v2::Addresses::IPv6(a)) => Introduced::Client(a.source_address.into()),
                _ => Introduced::Front,
            };
            Ok(Some((introduced, header.len())))
        }
        unfinished if unfinished.is_incomplete() && !line_over && bytes.len() < MOST => Ok(None),
        _ => Err(NoHeader),
    }
}

/// Reads the header off a stream. `None`: what came is none, or the stream ended.
pub async fn introduced(mut stream: Stream) -> Option<(Introduced, Stream)> {
    let mut bytes = BytesMut::new();
    loop {
        if let Some((introduced, len)) = header(&bytes).ok()? {
            let ahead: Bytes = bytes.split_off(len.min(bytes.len())).freeze();
            return Some((introduced, Box::new(Kept { stream, ahead, drawn: None })));
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}
