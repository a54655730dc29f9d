//! The listening socket that the platform holds and hands to each process of the relay.

use listenfd::ListenFd;
use rustix::net::sockopt::socket_acceptconn;
use std::env;
use std::io;
use std::net::{SocketAddr, TcpListener};

/// Names the descriptor.
const VARIABLE: &str = "LB_FD";

/// An inherited listening socket.
#[derive(Debug)]
pub struct Inherited(TcpListener);

impl Inherited {
    /// Takes the socket that the environment names, if it names one. Only at the start of the process: a descriptor that
    /// was not handed over may be anything later on.
    pub fn take() -> Result<Option<Inherited>, String> {
        let Some(said) = env::var(VARIABLE).ok().filter(|said| !said.is_empty()) else { return Ok(None) };
        let wrong = |why: String| format!("${VARIABLE} is {said:?}: {why}");
        said.parse::<u16>().map_err(|_| wrong("it is no number of a descriptor".to_string()))?;
        // The crate takes descriptors by the variables of systemd.
        env::set_var("LISTEN_FDS", "1");
        env::set_var("LISTEN_FDS_FIRST_FD", &said);
        env::remove_var("LISTEN_PID");
        let taken = ListenFd::from_env().take_tcp_listener(0);
        env::remove_var("LISTEN_FDS_FIRST_FD");
        let listener = taken.map_err(|e| wrong(e.to_string()))?;
        let listener = listener.ok_or_else(|| wrong("no descriptor".to_string()))?;
        if !socket_acceptconn(&listener).is_ok_and(|listens| listens) {
            return Err(wrong("the socket does not listen".to_string()));
        }
        listener.set_nonblocking(true).map_err(|e| wrong(e.to_string()))?;
        Ok(Some(Inherited(listener)))
    }

    /// Whether the socket listens where the configuration says.
    pub fn check(&self, at: SocketAddr) -> Result<(), String> {
        match self.0.local_addr() {
            Ok(address) if address == at => Ok(()),
            Ok(address) => Err(format!("the inherited socket listens on {address}, expected {at}")),
            Err(e) => Err(format!("the inherited socket: {e}")),
        }
    }

    /// A descriptor of its own for the socket.
    pub fn listener(&self) -> io::Result<TcpListener> {
        self.0.try_clone()
    }
}
