//! Messages between two processes of one relay: a Unix socket in the lasting folder, and frames on it.

use rustix::fs::{open, Mode, OFlags};
use serde::de::DeserializeOwned;
use serde::Serialize;
use std::fs;
use std::io;
use std::marker::PhantomData;
use std::os::fd::{AsRawFd, OwnedFd};
use std::path::{Path, PathBuf};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::unix::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{UnixListener, UnixStream};

const NAME: &str = "relay.sock";
/// Longest path that fits the address of a Unix socket.
const PATH_MOST: usize = 100;
/// Most bytes of a frame: all endpoints of a large site are one.
const FRAME_MOST: u32 = 256 << 20;

/// A path to the socket that is short enough, and what has to stay open for it.
fn socket_path(dir: &Path) -> io::Result<(PathBuf, Option<OwnedFd>)> {
    let path = dir.join(NAME);
    if path.as_os_str().len() <= PATH_MOST {
        return Ok((path, None));
    }
    let folder = open(dir, OFlags::PATH | OFlags::DIRECTORY | OFlags::CLOEXEC, Mode::empty())?;
    let short = PathBuf::from(format!("/proc/self/fd/{}/{NAME}", folder.as_raw_fd()));
    Ok((short, Some(folder)))
}

/// Listens in a folder, in the place of whoever did before.
pub fn listen(dir: &Path) -> io::Result<UnixListener> {
    let (path, _folder) = socket_path(dir)?;
    match fs::remove_file(&path) {
        Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
        _ => {}
    }
    UnixListener::bind(path)
}

/// Connects to whoever listens in a folder.
pub async fn connect(dir: &Path) -> io::Result<UnixStream> {
    let (path, _folder) = socket_path(dir)?;
    UnixStream::connect(path).await
}

/// The number of the process at the other end, where the system tells.
pub fn process_beyond(stream: &UnixStream) -> Option<i32> {
    stream.peer_cred().ok()?.pid()
}

/// Reads messages of one kind.
pub struct Reader<T> {
    from: OwnedReadHalf,
    kind: PhantomData<T>,
}

/// Writes messages of one kind.
pub struct Writer<T> {
    to: OwnedWriteHalf,
    kind: PhantomData<T>,
}

/// Both directions of a connection, as messages.
pub fn framed<R, W>(stream: UnixStream) -> (Reader<R>, Writer<W>) {
    let (from, to) = stream.into_split();
    (Reader { from, kind: PhantomData }, Writer { to, kind: PhantomData })
}

impl<T: DeserializeOwned> Reader<T> {
    /// The next message; an error at the end of the connection and for what cannot be read.
    pub async fn next(&mut self) -> io::Result<T> {
        let len = self.from.read_u32().await?;
        if len > FRAME_MOST {
            return Err(io::ErrorKind::InvalidData.into());
        }
        let mut bytes = vec![0; len as usize];
        self.from.read_exact(&mut bytes).await?;
        postcard::from_bytes(&bytes).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))
    }
}

impl<T: Serialize> Writer<T> {
    /// Writes a message.
    pub async fn send(&mut self, message: &T) -> io::Result<()> {
        let bytes =
            postcard::to_stdvec(message).map_err(|e| io::Error::new(io::ErrorKind::InvalidData, e))?;
        let len = u32::try_from(bytes.len()).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut frame = len.to_be_bytes().to_vec();
        frame.extend(bytes);
        self.to.write_all(&frame).await
    }
}
