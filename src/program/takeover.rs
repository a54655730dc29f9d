//! Hands the relay over to a process that the platform has started beside this one, and goes on with what stays here: open
//! connections of callers, calls that are out. Takes it back where the other is gone before this one was told to end.

use super::beside::{Beside, BesidePlan};
use super::descriptors::{self, Share};
use super::fronts::PlatformFront;
use super::ownership::Predecessor;
use crate::protocol::discovery::Names;
use crate::protocol::platform::Platform;
use crate::routing::core::{Adopts, Offer};
use crate::routing::handover::{
    Handover, Hello, Operation, Successor, ToPredecessor, ToSuccessor, LEGACY_VERSION, VERSION,
};
use crate::routing::journal::OpenError;
use crate::routing::{Desk, Taken};
use crate::transport::local_channel::{self, Reader, Writer};
use crate::transport::Legs;
use serde::Serialize;
use std::cell::Cell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, Instant};

/// The folder may take no new socket for a while.
const LISTEN_AGAIN: Duration = Duration::from_millis(200);
/// Who connects says at once who it is.
const HELLO_WITHIN: Duration = Duration::from_secs(1);
/// Its journal may be long.
const READY_WITHIN: Duration = Duration::from_secs(30);
/// The folder of a process that has just been killed is free in this time, or a third one has it.
const FREE_WITHIN: Duration = Duration::from_millis(500);
const LOOK_AGAIN: Duration = Duration::from_millis(10);
/// The other is told so often how many descriptors are held here.
const DESCRIPTORS_EACH: Duration = Duration::from_millis(25);

/// What a process needs in order to hand over and to take back.
pub(super) struct Takeover {
    pub front: PlatformFront,
    pub share: Rc<Share>,
    pub hello: Hello,
    pub dir: PathBuf,
    pub beside: Rc<Beside>,
    pub beside_plan: BesidePlan,
    /// This process was told to end.
    pub ending: Rc<Cell<bool>>,
    /// Another process decides for good: this one may leave.
    pub superseded: Rc<Notify>,
}

/// A process that has taken over, and what it was handed.
struct TakenOver {
    reader: Reader<ToPredecessor>,
    writer: Writer<ToSuccessor>,
    queue: UnboundedReceiver<ToSuccessor>,
    successor: Rc<Successor>,
    handed: Handed,
    /// Its number.
    process: Option<i32>,
}

/// What was handed over, and the names by which it tells of endpoints.
type Handed = (Handover, Names);

impl Takeover {
    /// Hands over to a process that asks for it, whenever this one decides.
    pub async fn offer(self) {
        loop {
            let listener = self.listen().await;
            let taken = loop {
                if let Some(taken) = self.hand_over(&listener).await {
                    break taken;
                }
            };
            drop(listener);
            let handed = self.accompany(taken).await;
            if !self.take_back(handed).await {
                self.superseded.notify_one();
                return;
            }
        }
    }

    async fn listen(&self) -> UnixListener {
        loop {
            match local_channel::listen(&self.dir) {
                Ok(listener) => return listener,
                Err(e) => {
                    tracing::warn!(target: "takeover", event = "takeover-not-offered", "cannot listen in {}: {e}", self.dir.display());
                    sleep(LISTEN_AGAIN).await;
                }
            }
        }
    }

    /// Waits for a process that may take over, and hands over to it; none where it came to nothing.
    async fn hand_over(&self, listener: &UnixListener) -> Option<TakenOver> {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(LOOK_AGAIN).await;
            return None;
        };
        let process = local_channel::process_beyond(&stream);
        let (reader, writer, version) = self.prepared(stream).await?;
        let from = Instant::now();
        let (to, queue) = unbounded_channel();
        let successor = Successor::new(to);
        // To its end nobody else runs: what is accepted, begun or decided is so wholly or not at all.
        let handed = self.release(&successor, version);
        spawn_local(send_away(self.front.legs.clone()));
        let us = from.elapsed().as_micros() as u64;
        tracing::info!(target: "takeover", event = "handed-over", us, "another process decides from now on");
        Some(TakenOver { reader, writer, queue, successor, handed, process })
    }

    /// Who asks, once it has prepared all that it can, and the version of its messages.
    async fn prepared(
        &self,
        stream: UnixStream,
    ) -> Option<(Reader<ToPredecessor>, Writer<ToSuccessor>, u32)> {
        let (mut reader, mut writer) = local_channel::framed(stream);
        let hello = timeout(HELLO_WITHIN, reader.next()).await;
        let Ok(Ok(ToPredecessor::Hello(hello))) = hello else { return None };
        if let Err(why) = self.may_follow(&hello) {
            tracing::warn!(target: "takeover", event = "takeover-refused", "a process that wants to take over is refused: {why}");
            writer.send(&ToSuccessor::Refused(why)).await.ok();
            return None;
        }
        let anchor = self.front.desk.clock.anchor();
        writer.send(&ToSuccessor::Welcome(anchor)).await.ok()?;
        match timeout(READY_WITHIN, reader.next()).await {
            Ok(Ok(ToPredecessor::Ready)) => Some((reader, writer, hello.version)),
            _ => {
                tracing::warn!(target: "takeover", event = "takeover-abandoned", "a process that wanted to take over is gone: this one serves on");
                None
            }
        }
    }

    /// Whether a process is the next one of this relay.
    fn may_follow(&self, hello: &Hello) -> Result<(), String> {
        let (own, names) = (&self.hello, self.front.in_force.borrow().names.clone());
        match () {
            () if ![LEGACY_VERSION, VERSION].contains(&hello.version) => Err(format!(
                "it speaks version {} of the takeover, expected {LEGACY_VERSION} or {VERSION}",
                hello.version
            )),
            () if hello.name != own.name || hello.listen != own.listen => {
                let (theirs, ours) = (
                    format!("{} on {}", hello.name, hello.listen),
                    format!("{} on {}", own.name, own.listen),
                );
                Err(format!("the folder is in use by {ours}, not by {theirs}"))
            }
            () if hello.kinds != names.kinds || hello.zones != names.zones => {
                Err("it has other kinds or zones".to_string())
            }
            () => Ok(()),
        }
    }

    /// Stops deciding, and tells the other what the journal does not tell, in messages of this version.
    fn release(&self, successor: &Rc<Successor>, version: u32) -> Handed {
        let front = &self.front;
        let names = front.in_force.borrow().names.clone();
        front.keeper.stop();
        front.departures.stop();
        front.gate.set(false);
        self.beside.stop();
        let adopts = match version {
            LEGACY_VERSION => Adopts::OwedAttempts,
            _ => Adopts::AllAttempts,
        };
        let handover = front.desk.release(successor.clone(), front.listing.in_force(), adopts).handover;
        front.listing.retire();
        let (calls, keys, unwritten) = (handover.calls.len(), handover.keys.len(), handover.unwritten.len());
        tracing::info!(target: "takeover", event = "released", version, calls, keys, unwritten, "the journal is released, {calls} calls stay here, {keys} keys rest");
        let told = handover.clone();
        successor.tell(match version {
            LEGACY_VERSION => ToSuccessor::Released(Box::new(told.into()), descriptors::held()),
            _ => ToSuccessor::HandedOver(Box::new(told), descriptors::held()),
        });
        (handover, names)
    }

    /// Carries what the two processes tell each other until the other is gone. Returns what it was handed.
    async fn accompany(&self, taken: TakenOver) -> Handed {
        let TakenOver { mut reader, writer, queue, successor, handed, process } = taken;
        let _beside = self.share.memory.beside(process);
        let writing = spawn_local(write(writer, queue));
        let counting = spawn_local(tell_descriptors(successor.clone()));
        while let Ok(message) = reader.next().await {
            match message {
                ToPredecessor::Taken(number, taken) => successor.answered(number, taken),
                ToPredecessor::Operated(number, operated) => successor.operated(number, operated),
                ToPredecessor::Cancel(nos) => self.front.desk.cancel(&nos),
                ToPredecessor::Hello(_) | ToPredecessor::Ready => {}
            }
        }
        counting.abort();
        writing.abort();
        successor.gone();
        handed
    }

    /// Decides again with the other gone; false where a third process does, or this one ends.
    async fn take_back(&self, (mut handed, names): Handed) -> bool {
        let front = &self.front;
        front.desk.give_up_calls().await;
        front.departures.take_back(&mut handed.list.endpoints);
        let from = Instant::now();
        let core = loop {
            if self.ending.get() && !front.desk.has_unheard() {
                break None;
            }
            let out = front.desk.messages_out();
            handed
                .calls
                .retain(|call| call.attempts.iter().any(|attempt| out.contains(&attempt.transaction)));
            match front.cores.again(handed.clone(), names.clone()) {
                Ok(core) => break Some(core),
                Err(OpenError::InUse(_)) if from.elapsed() > FREE_WITHIN => break None,
                Err(_) => sleep(LOOK_AGAIN).await,
            }
        };
        let Some(core) = core else {
            front.desk.orphan();
            return false;
        };
        if self.ending.get() {
            front.desk.record_unheard(core);
            front.desk.orphan();
            return false;
        }
        front.desk.resume(core);
        // It may have been read again meanwhile.
        front.keeper.keep_configuration(&front.in_force.borrow());
        front.departures.resume();
        front.gate.set(true);
        // Callers stay, unless an operator had them sent away.
        front.desk.front.draining.send_modify(|_| ());
        tracing::warn!(target: "takeover", event = "taken-back", "the process that had taken over is gone: this one decides again");
        let platform = (front.desk.clone(), front.legs.clone());
        if let Err(why) = self.beside.start(&self.beside_plan, Some(&platform), true).await {
            tracing::error!(target: "takeover", event = "not-started-again", "{why}");
        }
        true
    }
}

async fn send_away(legs: Rc<Legs>) {
    legs.send_away(true).await;
}

async fn write<T: Serialize>(mut writer: Writer<T>, mut queue: UnboundedReceiver<T>) {
    while let Some(message) = queue.recv().await {
        if writer.send(&message).await.is_err() {
            return;
        }
    }
}

/// Tells how many descriptors are held here, as that changes.
async fn tell_descriptors(successor: Rc<Successor>) {
    let mut told = descriptors::held();
    loop {
        sleep(DESCRIPTORS_EACH).await;
        let held = descriptors::held();
        if held != told {
            told = held;
            successor.tell(ToSuccessor::Descriptors(held));
        }
    }
}

/// Goes on with what the process before this one still has to tell, until it is gone.
pub(super) async fn follow(predecessor: Predecessor, desk: Rc<Desk<Platform>>, share: Rc<Share>) {
    let Predecessor { mut reader, writer, process, .. } = predecessor;
    let beside = share.memory.beside(process);
    let (to, queue) = unbounded_channel();
    desk.roles.follow(Some(to.clone()));
    let writing = spawn_local(write(writer, queue));
    while let Ok(message) = reader.next().await {
        match message {
            ToSuccessor::Offered(number, offer) => {
                drop(spawn_local(take(desk.clone(), to.clone(), number, offer)))
            }
            ToSuccessor::Take(number, offer) => {
                let named = offer.named(&desk.front.classes.borrow().names);
                match named {
                    Some(offer) => drop(spawn_local(take(desk.clone(), to.clone(), number, offer))),
                    None => drop(to.send(ToPredecessor::Taken(number, Taken::UnknownClass))),
                }
            }
            ToSuccessor::Operate(number, operation) => {
                drop(spawn_local(operate(desk.clone(), to.clone(), number, operation)));
            }
            ToSuccessor::Withdraw(no) => desk.withdraw(no),
            ToSuccessor::Ended(outcome) => desk.adopted_ended(outcome),
            ToSuccessor::Descriptors(held) => share.other_holds(held),
            ToSuccessor::Refused(_) | ToSuccessor::Welcome(_) => {}
            ToSuccessor::Released(..) | ToSuccessor::HandedOver(..) => {}
        }
    }
    writing.abort();
    desk.predecessor_gone();
    share.other_holds(0);
    drop(beside);
    tracing::info!(target: "takeover", event = "predecessor-gone", "the process before this one is gone");
}

async fn take(desk: Rc<Desk<Platform>>, to: UnboundedSender<ToPredecessor>, number: u64, offer: Offer) {
    let taken = desk.take(offer).await;
    to.send(ToPredecessor::Taken(number, taken)).ok();
}

async fn operate(
    desk: Rc<Desk<Platform>>,
    to: UnboundedSender<ToPredecessor>,
    number: u64,
    operation: Operation,
) {
    if let Some(operated) = desk.operate(&operation).await {
        to.send(ToPredecessor::Operated(number, operated)).ok();
    }
}
