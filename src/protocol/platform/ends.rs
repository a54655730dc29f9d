//! Ends on their way to the platform: each is sent until it is acknowledged, as [`Schedule`] says.

use super::super::notices;
use super::notice_log::NoticeLog;
use super::standby::Standby;
use super::Platform;
use crate::decision::end_margin::end_margin;
use crate::interface::Nanos;
use crate::notices::{Acknowledged, AttemptNo, Begin, Failure, Figures, OwedFrom, Schedule};
use crate::routing::core::Ended;
use crate::routing::{message_log, Core, Desk};
use std::cell::Cell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::{sleep_until, Instant};

/// The platform has to read an end so long behind its message's deadline.
const SLACK: Nanos = 300_000_000;
/// No end is overdue before this time behind a start.
const START_SLACK: Nanos = 1_500_000_000;
/// A change by less of what ends take to arrive changes nothing.
const ENDS_TAKE_STEP: Nanos = 20_000_000;
/// What an end may take to arrive before anything is known of the way: a message that leaves less for it is refused.
const RESERVE_LEAST: Nanos = 500_000_000;
/// What is owed, and what will be, is looked at so often.
const LOOK_EACH: Nanos = 100_000_000;

/// What came of a request.
struct Answered {
    request: AttemptNo,
    told: Result<(), Failure>,
    /// When its connection was up.
    connected: Option<Instant>,
}

/// Tells the platform of ends, wherever it moves, until each is acknowledged. Where there is no platform, the
/// log is told.
pub async fn tell_ends(desk: Rc<Desk<Platform>>) {
    let mut agent = desk.front.agent.subscribe();
    desk.front.started.get_or_init(|| desk.clock.now());
    loop {
        let at = *agent.borrow_and_update();
        let telling = async {
            match at {
                Some(at) => Telling::new(&desk, at).run().await,
                None => log_ends(&desk).await,
            }
        };
        tokio::select! {
            () = telling => {}
            _ = agent.changed() => {}
        }
        desk.front.owed.borrow_mut().moved();
    }
}

impl Platform {
    /// These ends are owed from now on.
    pub(super) fn owe(&self, desk: &Rc<Desk<Self>>, ended: &[Ended]) {
        let now = desk.clock.now();
        let not_before = *self.started.get_or_init(|| now) + START_SLACK;
        for Ended { no, decided } in ended.iter().copied() {
            let Some(deadline) = desk.see(|core| core.transaction(no).map(|t| t.deadline)) else { continue };
            let limit = (deadline + SLACK).max(not_before);
            self.owed.borrow_mut().owe(now, OwedFrom { no, decided, limit });
        }
        self.more_owed.notify_one();
    }

    /// Whether the end of a message with so much time would come in its time, as the way to the platform is now.
    pub(super) fn can_end_in_time(&self, now: Nanos, time_left: Nanos) -> bool {
        let owed = self.owed.borrow();
        let reserve = end_margin(time_left, owed.ends_take(now)) + SLACK;
        self.agent.borrow().is_none() || reserve >= owed.delay_now(now).max(RESERVE_LEAST)
    }

    /// Whether more ends than this are overdue.
    pub(super) fn is_behind(&self, now: Nanos, most: usize) -> bool {
        self.owed.borrow().is_behind(now, most)
    }

    /// What is owed to the platform at this time.
    pub fn owed(&self, now: Nanos) -> Figures {
        self.owed.borrow().figures(now)
    }
}

/// Tells ends at one address.
struct Telling<'a> {
    desk: &'a Rc<Desk<Platform>>,
    agent: SocketAddr,
    open: JoinSet<Answered>,
    handles: HashMap<AttemptNo, AbortHandle>,
    standby: Standby,
    log: NoticeLog,
    /// What the core was told that ends take to arrive.
    ends_take: Option<Nanos>,
}

impl Telling<'_> {
    fn new(desk: &Rc<Desk<Platform>>, agent: SocketAddr) -> Telling<'_> {
        let (open, handles) = (JoinSet::new(), HashMap::new());
        let standby = Standby::new(desk.front.net.clone(), agent);
        Telling { desk, agent, open, handles, standby, log: NoticeLog::default(), ends_take: None }
    }

    fn schedule<R>(&self, f: impl FnOnce(&mut Schedule) -> R) -> R {
        f(&mut self.desk.front.owed.borrow_mut())
    }

    async fn run(mut self) {
        loop {
            let now = self.desk.clock.now();
            while let Some(begin) = self.schedule(|schedule| schedule.begin(now)) {
                self.begin(begin);
            }
            let connected_in = self.standby.take_slowest().as_nanos() as Nanos;
            self.schedule(|schedule| schedule.answered_late(now, connected_in));
            self.tell_what_ends_take(now);
            let ends_take = self.ends_take.unwrap_or(0);
            self.standby.keep(now, self.desk.see(Core::first_end), ends_take);
            self.log.look(now, self.schedule(|schedule| schedule.figures(now)));
            let due = self.schedule(|schedule| schedule.due(now)).min(now + LOOK_EACH);
            tokio::select! {
                Some(ended) = self.open.join_next() => {
                    if let Ok(answered) = ended {
                        self.answered(answered);
                    }
                }
                () = sleep_until(self.desk.clock.instant(due)) => {}
                () = self.desk.front.more_owed.notified() => {}
            }
        }
    }

    fn begin(&mut self, begin: Begin) {
        let Begin { request, ends, given_up } = begin;
        if let Some(handle) = given_up.and_then(|given_up| self.handles.remove(&given_up)) {
            handle.abort();
        }
        let mut text = String::new();
        self.desk.see(|core| {
            for no in &ends {
                let Some((t, ending)) = core.transaction(*no).and_then(|t| Some((t, t.ending?))) else {
                    continue;
                };
                notices::line(&t.id, ending, &mut text);
                message_log::notice_sent(t, request);
            }
        });
        let (net, agent, opened) = (self.desk.front.net.clone(), self.agent, self.standby.take());
        let post = async move {
            let line = match opened {
                Some(opened) => opened.line().await,
                None => None,
            };
            let connected = Cell::new(None);
            let told = match text.is_empty() {
                true => Ok(()),
                false => notices::post(&net, agent, line, text, &connected).await,
            };
            Answered { request, told, connected: connected.get() }
        };
        self.handles.insert(request, self.open.spawn_local(post));
    }

    fn answered(&mut self, Answered { request, told, connected }: Answered) {
        self.handles.remove(&request);
        let now = self.desk.clock.now();
        if let Err(failure) = told {
            self.log.failed(failure);
            return self.schedule(|schedule| schedule.failed(now, request, failure));
        }
        let connected = connected.map_or(now, |at| now.saturating_sub(at.elapsed().as_nanos() as Nanos));
        let Acknowledged { settled, needless } =
            self.schedule(|schedule| schedule.acknowledged(now, request, connected));
        needless.iter().filter_map(|request| self.handles.remove(request)).for_each(|handle| handle.abort());
        self.desk.see(|core| {
            for (no, stages) in &settled {
                let Some(t) = core.transaction(*no) else { continue };
                message_log::notice_acknowledged(t);
                self.log.acknowledged(now, &t.id, stages);
            }
        });
        self.desk.act(|core, now| settled.into_iter().for_each(|(no, _)| core.acknowledged(now, no)));
    }

    /// Has ends be decided as early as the way to the platform wants it.
    fn tell_what_ends_take(&mut self, now: Nanos) {
        let time = self.schedule(|schedule| schedule.ends_take(now));
        let is_same = |told: Nanos| time.abs_diff(told) < ENDS_TAKE_STEP && (time == 0) == (told == 0);
        if !self.ends_take.is_some_and(is_same) {
            self.ends_take = Some(time);
            self.desk.act(|core, now| core.ends_take(now, time));
        }
    }
}

async fn log_ends(desk: &Rc<Desk<Platform>>) {
    loop {
        let owed = desk.front.owed.borrow_mut().take_all();
        for no in owed {
            let mut text = String::new();
            let told = desk.see(|core| core.transaction(no).and_then(|t| Some((t.id.clone(), t.ending?))));
            if let Some((id, ending)) = told {
                notices::line(&id, ending, &mut text);
                tracing::info!(target: "platform", event = "message-end", "{}", text.trim_end());
            }
            desk.act(|core, now| core.acknowledged(now, no));
        }
        desk.front.more_owed.notified().await;
    }
}
