//! A stand-in of all endpoints at one address: it answers each call with 200 at once.

use super::http::{listen, Connection};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;

/// Stands for any number of endpoints, on a thread of its own.
pub struct EndpointStandIn {
    address: SocketAddr,
    calls: Arc<AtomicU64>,
    _runtime: tokio::runtime::Runtime,
}

impl EndpointStandIn {
    /// Serves at an address until it is dropped.
    pub fn start(at: SocketAddr) -> EndpointStandIn {
        let mut builder = tokio::runtime::Builder::new_multi_thread();
        let runtime = builder.worker_threads(1).enable_all().build().expect("a runtime for endpoints");
        let listener = runtime.block_on(async { listen(at) }).expect("the endpoints listen");
        let address = listener.local_addr().expect("an address");
        let calls = Arc::new(AtomicU64::new(0));
        let counted = calls.clone();
        runtime.spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let counted = counted.clone();
                tokio::spawn(async move {
                    let mut connection = Connection::new(stream);
                    while connection.request().await.is_some() {
                        counted.fetch_add(1, Ordering::Relaxed);
                        if connection.answer("200 OK", b"").await.is_err() {
                            return;
                        }
                    }
                });
            }
        });
        EndpointStandIn { address, calls, _runtime: runtime }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Calls answered so far.
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }
}
