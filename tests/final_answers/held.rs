//! An endpoint whose final answers come when a test wants them.

use crate::finals::{single, Form, Says};
use crate::stand_ins::{request, Told};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// An endpoint that gives each of its first calls a final answer once it is let, and counts the calls of each message.
pub struct Held {
    pub address: SocketAddr,
    pub calls: Told<BTreeMap<String, u32>>,
    pub answers: Arc<AtomicBool>,
}

impl Held {
    pub fn start(says: Says, form: Form) -> Held {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (calls, answers) = (Told::<BTreeMap<String, u32>>::default(), Arc::new(AtomicBool::new(false)));
        let (counts, is_let) = (calls.clone(), answers.clone());
        spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let (counts, is_let) = (counts.clone(), is_let.clone());
                spawn(move || {
                    let mut input = BufReader::new(stream.try_clone().unwrap());
                    let Some((head, _)) = request(&mut input) else { return };
                    let id = head.iter().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap();
                    counts.tell(|counts| *counts.entry(id.to_string()).or_default() += 1);
                    while !is_let.load(Ordering::SeqCst) {
                        sleep(Duration::from_millis(2));
                    }
                    for (pause, part) in single(says, form, true).parts {
                        sleep(pause);
                        stream.write_all(&part).ok();
                    }
                });
            }
        });
        Held { address, calls, answers }
    }
}
