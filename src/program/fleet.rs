//! Ties membership to the program: its socket, its log, and the view that outlasts the process.

use crate::fleet::record::id;
use crate::fleet::together::{Peer, Terms, Together};
use crate::membership::saved::Saved;
use crate::membership::wire::Refused;
use crate::membership::{Me, Membership, News, Seen, View};
use crate::operator::fleet::Fleet;
use crate::routing::{Clock, Desk, Front};
use crate::transport::datagrams::Carrier;
use crate::transport::network;
use std::cell::Cell;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, Instant};

const FILE: &str = "fleet.view";
const COPY: &str = "fleet.view.new";
const DAMAGED: &str = "fleet.view.damaged";
/// Taken off the room for the journal: the file, the copy that takes its place, and one put aside.
pub const DISK: u64 = 768 * 1024;
/// The view is written so often at most, and the figures are told so often.
const WRITE_EACH: Duration = Duration::from_secs(1);
const FIGURES_EACH: Duration = Duration::from_secs(60);
const LOOKS_EACH: Duration = Duration::from_millis(200);
/// What the fleet deals out is looked at so often.
const TURNS_EACH: Duration = Duration::from_millis(100);

/// One of a fleet, running.
pub struct Running {
    carrier: Rc<Carrier>,
    dir: PathBuf,
    fleet: String,
    clock: Clock,
    /// What the last `view` line said: how many of how many, and whether stale.
    told: Cell<Option<(usize, usize, Option<&'static str>)>>,
}

/// Starts membership where the operator's file has a section for it.
pub async fn start(
    said: &Fleet,
    name: &str,
    dir: &Path,
    seed: u64,
    clock: Clock,
) -> Result<Rc<Running>, String> {
    let socket = network::datagrams(said.listen).await;
    let socket = socket.map_err(|e| format!("fleet: cannot listen on {}: {e}", said.listen))?;
    let last = last_view(dir).filter(|last| last.fleet == said.name);
    let now = clock.now();
    let born = last.as_ref().filter(|l| l.me.name == name).map_or(now, |l| l.born(now));
    let mut contacts = said.join.clone();
    contacts.extend(last.iter().flat_map(Saved::contacts).filter(|c| !said.join.contains(c)));
    let me = Me {
        fleet: said.name.clone(),
        name: name.to_string(),
        address: said.reach,
        room: said.room.clone(),
        born,
    };
    let membership = Membership::new(now, seed, me, said.terms.clone(), contacts);
    let carrier = Carrier::new(membership, socket, clock);
    let running = Rc::new(Running {
        carrier: carrier.clone(),
        dir: dir.to_path_buf(),
        fleet: said.name.clone(),
        clock,
        told: Cell::new(None),
    });
    let telling = running.clone();
    spawn_local(carrier.carry(move |news| telling.tell(&news)));
    spawn_local(running.clone().keep());
    let (fleet, listen, reach) = (&said.name, said.listen, said.reach);
    tracing::info!(target: "fleet", event = "fleet-joins", fleet, %listen, %reach, "{name} is one of fleet {fleet}");
    Ok(running)
}

impl Running {
    pub fn view(&self) -> Rc<View> {
        self.carrier.membership.borrow_mut().view()
    }

    /// Has a front go by what the fleet deals out, for good.
    pub async fn share<F: Front>(self: Rc<Self>, desk: Rc<Desk<F>>, terms: Rc<Cell<Terms>>) {
        desk.act(|core, _| core.share());
        let me = self.view().me.name.clone();
        let mut together = Together::new(id(&me), terms.get(), self.clock.now());
        loop {
            sleep(TURNS_EACH).await;
            together.set_terms(terms.get());
            let (now, view) = (self.clock.now(), self.view());
            let others: Vec<_> = view.others.iter().filter(|m| m.state.there()).collect();
            let peers: Vec<Peer<'_>> = others.iter().map(|m| peer(m)).collect();
            let heard: Vec<_> = together.heard_of(now).collect();
            let own = desk.see(|core| core.own(heard.into_iter()));
            let turn = together.turn(now, view.stale.is_some(), &peers, &own);
            if !turn.deals.is_empty() {
                desk.act(|core, now| core.deal(now, &turn.deals));
            }
            if let Some(record) = turn.record {
                let names = others.iter().filter(|m| turn.tell.contains(&id(&m.name)));
                let names: Vec<&str> = names.map(|m| m.name.as_ref()).collect();
                self.carrier.act(|m, now| {
                    m.set_record(now, &record);
                    m.tell(now, names);
                });
            }
        }
    }

    /// Says goodbye to the others, and writes the view for the last time.
    pub fn leave(&self) {
        self.carrier.act(|m, now| m.leave(now));
        self.write();
    }

    fn tell(&self, all: &[News]) {
        let view = self.view();
        for news in all {
            tell(news, &view);
        }
        let (version, part, of) = (view.version, view.part(), view.of());
        let stale = view.stale.map(|s| s.name());
        // A line for each change that somebody would act on, and none for what only a record says.
        if self.told.replace(Some((part, of, stale))) == Some((part, of, stale)) {
            return;
        }
        tracing::info!(target: "fleet", event = "view", version, part, of, stale, "{part} of {of} are there");
    }

    /// Writes the view where it has changed, and tells the figures from time to time.
    async fn keep(self: Rc<Self>) {
        let (mut written, mut told) = ((0, Instant::now()), Instant::now());
        loop {
            sleep(LOOKS_EACH).await;
            let version = self.view().version;
            let due = written.0 == 0 || written.1.elapsed() >= WRITE_EACH;
            if version != written.0 && due && self.write() {
                written = (version, Instant::now());
            }
            if told.elapsed() >= FIGURES_EACH {
                told = Instant::now();
                self.tell_figures();
            }
        }
    }

    fn tell_figures(&self) {
        let f = self.carrier.membership.borrow().figures();
        let (sent, bytes, heard, unanswered, unsent) =
            (f.sent, f.bytes, f.heard, f.unanswered, self.carrier.unsent.get());
        let refused: Vec<String> =
            Refused::ALL.iter().zip(f.refused).map(|(why, n)| format!("{}={n}", why.name())).collect();
        let refused = refused.join(" ");
        tracing::info!(target: "fleet", event = "fleet-figures", sent, bytes, heard, unanswered, unsent, refused, "datagrams since the start");
    }

    fn write(&self) -> bool {
        let view = self.view();
        let saved =
            Saved::of(&self.fleet, self.clock.now(), &view, self.carrier.membership.borrow().contacts());
        let (copy, file) = (self.dir.join(COPY), self.dir.join(FILE));
        let Some(bytes) = saved.encode() else { return false };
        match fs::write(&copy, bytes).and_then(|()| fs::rename(&copy, &file)) {
            Ok(()) => true,
            Err(e) => {
                tracing::warn!(target: "fleet", event = "view-unwritten", "the view cannot be written: {e}");
                false
            }
        }
    }
}

/// What another relay tells, as those who deal parts out want it.
fn peer(m: &Seen) -> Peer<'_> {
    Peer { id: id(&m.name), version: (m.life.born, m.record.version), record: &m.record.bytes }
}

fn tell(news: &News, view: &View) {
    match news {
        News::Alive { name, life, why } => {
            let (born, round) = (life.born, life.round);
            tracing::info!(target: "fleet", event = "member-alive", member = %name, born, round, why, "{name} is there");
        }
        News::Suspect { name, by } => {
            tracing::debug!(target: "fleet", event = "member-suspect", member = %name, %by, "{name} is accused by {by}");
        }
        News::Faulty { name, by } => {
            let by = by.join(" ");
            tracing::warn!(target: "fleet", event = "member-faulty", member = %name, by, "{name} is not there any more");
        }
        News::Left { name } => {
            tracing::info!(target: "fleet", event = "member-left", member = %name, "{name} said goodbye");
        }
        News::Forgotten { name } => {
            tracing::info!(target: "fleet", event = "member-forgotten", member = %name, "{name} is forgotten");
        }
        News::Record { name, version } => {
            tracing::debug!(target: "fleet", event = "member-record", member = %name, version, "{name} tells something new");
        }
        News::Refuted { by } => {
            let round = view.me.life.round;
            tracing::debug!(target: "fleet", event = "refuted", %by, round, "accused by {by}, and still there");
        }
        News::Paused { lag } => {
            let ms = lag / 1_000_000;
            tracing::warn!(target: "fleet", event = "stood-still", ms, "woken {ms} ms late: what is held of others is old");
        }
        News::Twin { address, stands: false } => {
            tracing::error!(target: "fleet", event = "superseded", %address, "a later process at {address} goes by this name: this one is no member any more");
        }
        News::Twin { address, .. } => {
            tracing::error!(target: "fleet", event = "twin", %address, "an earlier process at {address} goes by this name");
        }
        News::Stale(Some(why)) => {
            let why = why.name();
            tracing::warn!(target: "fleet", event = "view-stale", why, "the view is not acted on: {why}");
        }
        News::Stale(None) => {
            tracing::info!(target: "fleet", event = "view-fresh", "the view is acted on again");
        }
    }
}

/// What the last life wrote. One that cannot be read is put aside.
fn last_view(dir: &Path) -> Option<Saved> {
    let path = dir.join(FILE);
    match read(&path) {
        Ok(saved) => Some(saved),
        Err(e) if e.kind() == io::ErrorKind::NotFound => None,
        Err(e) => {
            let aside = dir.join(DAMAGED);
            fs::rename(&path, &aside).ok();
            let aside = aside.display();
            tracing::warn!(target: "fleet", event = "view-damaged", "the last view cannot be used, put aside as {aside}: {e}");
            None
        }
    }
}

fn read(path: &Path) -> io::Result<Saved> {
    Saved::decode(&fs::read(path)?).map_err(|why| io::Error::new(io::ErrorKind::InvalidData, why))
}

/// The last view written in a folder, as lines of a text.
pub fn members(dir: &Path) -> Result<String, String> {
    let path = dir.join(FILE);
    let saved = read(&path).map_err(|e| format!("{}: {e}", path.display()))?;
    let seconds = saved.at / 1_000_000_000;
    let at = time::OffsetDateTime::from_unix_timestamp(seconds as i64).ok();
    let at = at.map_or(String::new(), |at| {
        format!("{} {:02}:{:02}:{:02} UTC", at.date(), at.hour(), at.minute(), at.second())
    });
    let there = 1 + saved.others.iter().filter(|k| k.state.there()).count();
    let stale = saved.stale.as_deref().map_or(String::new(), |why| format!(", stale: {why}"));
    let mut text =
        format!("fleet {}, version {}, {there} there, written {at}{stale}\n", saved.fleet, saved.version);
    let me = std::iter::once(&saved.me);
    for (i, k) in me.chain(&saved.others).enumerate() {
        let (state, room) = (k.state.name(), if k.room.is_empty() { "-" } else { &k.room });
        let mark = if i == 0 { " (this relay)" } else { "" };
        text += &format!(
            "{}\t{state}\t{}\troom {room}\tborn {} round {}{mark}\n",
            k.name, k.address, k.life.born, k.life.round
        );
    }
    Ok(text)
}
