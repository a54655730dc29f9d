//! The adaptor between hollow relays and discovery's list. It alone knows how the program follows a list.

use super::hollow::Progress;
use basaltloom::catalog::{Endpoint, EndpointState};
use basaltloom::polling::{PollSchedule, Terms};
use basaltloom::protocol::discovery::{self, Committed, ListArrival, ListLimits, ListReceiver, Names};
use basaltloom::transport::network::Tcp;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::watch;

/// What a list says of an entry, as far as hollow relays compare it.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Known {
    address: SocketAddr,
    destination: u64,
    state: EndpointState,
    share: f64,
}

/// The list that the hollow relays of one thread hold together. Each still fetches, decodes and compares its own changes.
#[derive(Debug, Default)]
pub struct SharedList {
    entries: RefCell<HashMap<String, Known>>,
}

impl SharedList {
    /// Entries held.
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Compares an entry with what is held, and holds it.
    fn take(&self, endpoint: Endpoint) {
        let Endpoint { name, address, dest: destination, state, share, .. } = endpoint;
        let listed = Known { address, destination, state, share };
        let mut entries = self.entries.borrow_mut();
        match entries.get_mut(&name) {
            Some(known) if *known == listed => {}
            Some(known) => *known = listed,
            None => drop(entries.insert(name, listed)),
        }
    }
}

/// Takes the lists of one hollow relay in.
struct Receiver {
    list: Rc<SharedList>,
    progress: Arc<Progress>,
}

impl ListReceiver for Receiver {
    type Draft = Vec<Endpoint>;

    async fn begin(&self) -> Vec<Endpoint> {
        Vec::new()
    }

    fn entry(&self, draft: &mut Vec<Endpoint>, endpoint: Endpoint) {
        draft.push(endpoint);
    }

    async fn commit(&self, draft: Vec<Endpoint>, list: ListArrival) -> Committed {
        draft.into_iter().for_each(|endpoint| self.list.take(endpoint));
        self.progress.list_in_force(list.seq);
        Committed::InForce
    }
}

/// Follows discovery for good as the program does, from a version on that the shared list has already, or from nothing.
pub async fn follow(
    discovery: SocketAddr,
    senders: usize,
    seed: u64,
    known: Option<u64>,
    list: Rc<SharedList>,
    progress: Arc<Progress>,
) {
    let (_kept, agent) = watch::channel(Some(discovery));
    let zones = ["a", "b", "c"].map(str::to_string).to_vec();
    let names = Names { kinds: vec!["m1".to_string()], zones };
    let schedule = PollSchedule::new(senders as u32, Terms::default(), seed);
    let receiver = Receiver { list, progress };
    discovery::follow(Rc::new(Tcp), agent, names, schedule, known, ListLimits::default(), receiver).await;
}
