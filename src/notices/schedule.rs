//! The ends that are owed, and the requests that tell them.

use super::attempts::{AttemptNo, Attempts};
use super::failures::Failures;
use super::haste::Haste;
use super::owed_end::{OpenRequest, OwedEnd};
use super::stages::Nearest;
use super::values::{Acknowledged, Begin, Failure, Figures, MessageNo, OwedFrom};
use super::way::Way;
use crate::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet, HashMap};

const MS: Nanos = 1_000_000;
/// Ends in one request at most.
pub const ENDS_MOST: usize = 256;
/// The same where the way is slow or not known, of ends that are told the first time: many go side by side, since a request may
/// take its time by its length. Where few may be opened more they hold more, but only a burst fills one.
const ENDS_SIDE_BY_SIDE: (usize, usize) = (16, 48);
/// Requests that are open at once at most: descriptors are kept for these and for discovery.
const OPEN_MOST: usize = 8;
/// Of them, those that tell ends again where the way is slow: they may be as slow as the first.
const AGAIN_MOST: usize = 3;
/// For each request that is open the next one begins so much later, so that a platform that is slow because it is crowded is
/// asked less often. One that is full does not wait.
const GAP_EACH: Nanos = 25 * MS;
/// So many tries of one end follow one another at the same interval; each further interval is twice as long.
const TRIES_AT_ONCE: u32 = 6;
/// The longest time between two tries of one end.
const TRY_AGAIN_MOST: Nanos = 1_000 * MS;
/// Where nothing was acknowledged for so long while requests were open, these count as lost.
const SILENT_AFTER: Nanos = 300 * MS;

/// Ends that are owed, and the requests that are open for them.
#[derive(Debug)]
pub struct Schedule {
    ends: HashMap<MessageNo, OwedEnd>,
    /// Those that were not told yet, by limit.
    fresh: BTreeSet<(Nanos, MessageNo)>,
    /// Those that may be told again now, by number of tries and limit.
    again: BTreeSet<(u32, Nanos, MessageNo)>,
    /// Whether the last request told ends again: the two take turns, so that neither holds up the other.
    is_repeat_last: bool,
    resting: BTreeSet<(Nanos, MessageNo)>,
    by_age: BTreeSet<(Nanos, MessageNo)>,
    by_limit: BTreeSet<(Nanos, MessageNo)>,
    attempts: Attempts,
    requests: HashMap<AttemptNo, OpenRequest>,
    /// Those of them that tell ends again alone, and when they began.
    repeats: BTreeMap<AttemptNo, Nanos>,
    way: Way,
    last_begun: Nanos,
    /// When a request was acknowledged last.
    acknowledged_at: Nanos,
    failures: Failures,
    counts: Figures,
    /// For how long the event loop was held up in all.
    held_up: Nanos,
    nearest: Nearest,
}

impl Default for Schedule {
    fn default() -> Schedule {
        Schedule {
            ends: HashMap::new(),
            fresh: BTreeSet::new(),
            again: BTreeSet::new(),
            is_repeat_last: false,
            resting: BTreeSet::new(),
            by_age: BTreeSet::new(),
            by_limit: BTreeSet::new(),
            attempts: Attempts::new(OPEN_MOST),
            requests: HashMap::new(),
            repeats: BTreeMap::new(),
            way: Way::default(),
            last_begun: 0,
            acknowledged_at: 0,
            failures: Failures::default(),
            counts: Figures::default(),
            held_up: 0,
            nearest: Nearest::default(),
        }
    }
}

impl Schedule {
    /// The end of a message is owed from now on.
    pub fn owe(&mut self, now: Nanos, OwedFrom { no, decided, limit }: OwedFrom) {
        self.settle(no);
        let end = OwedEnd {
            decided,
            owed: now,
            first_begun: None,
            held_up_before: self.held_up,
            limit,
            tries: 0,
            rests_until: 0,
            share: ENDS_MOST,
        };
        self.ends.insert(no, end);
        self.fresh.insert((limit, no));
        self.by_age.insert((decided, no));
        self.by_limit.insert((limit, no));
    }

    /// Whether nothing is owed.
    pub fn is_empty(&self) -> bool {
        self.ends.is_empty()
    }

    /// The request that is to be made now, if any.
    pub fn begin(&mut self, now: Nanos) -> Option<Begin> {
        self.wake(now);
        if !self.is_ready() || self.begins_at(now) > now {
            return None;
        }
        let (request, given_up) = self.attempts.begin(now, self.patience(now))?;
        if let Some(given_up) = given_up {
            self.close(given_up);
            self.counts.given_up += 1;
        }
        let ends = self.pick(now, given_up.is_some());
        if self.is_repeat_last {
            self.repeats.insert(request, now);
        }
        for no in &ends {
            self.tried(now, *no);
        }
        self.requests.insert(request, OpenRequest { begun: now, ends: ends.clone() });
        self.last_begun = now;
        self.counts.begun += 1;
        Some(Begin { request, ends, given_up })
    }

    fn is_ready(&self) -> bool {
        !self.fresh.is_empty() || !self.again.is_empty()
    }

    /// When ends may be told again that are ready for it: on a slow way not before most of the latest repeats had their time.
    fn repeats_at(&self, now: Nanos) -> Nanos {
        let latest = self.repeats.values().rev().nth(AGAIN_MOST - 1);
        match (self.again.is_empty(), self.way.is_fast()) {
            (true, _) => Nanos::MAX,
            (false, true) => 0,
            (false, false) => latest.map_or(0, |begun| begun + self.patience(now)),
        }
    }

    fn close(&mut self, request: AttemptNo) -> Option<OpenRequest> {
        self.repeats.remove(&request);
        self.requests.remove(&request)
    }

    /// Those that are due first, as many as may share a request. Where the way is slow those to be told again do not make a
    /// request longer that tells others the first time, nor take a place from an earlier request before them.
    fn pick(&mut self, now: Nanos, is_crowded: bool) -> Vec<MessageNo> {
        let most = self.ends_in_one();
        let fresh = self.fresh.iter().map(|(_, no)| *no);
        let again = self.again.iter().map(|(.., no)| *no);
        if self.way.is_fast() || self.is_failing(now) {
            self.is_repeat_last = false;
            return self.share(fresh.chain(again), ENDS_MOST);
        }
        let repeats_now =
            self.fresh.is_empty() || (!is_crowded && !self.is_repeat_last && self.repeats_at(now) <= now);
        let ends = match repeats_now {
            true => self.share(again, ENDS_MOST),
            false => self.share(fresh, most),
        };
        self.is_repeat_last = repeats_now;
        ends
    }

    /// How many ends go in one request.
    fn ends_in_one(&self) -> usize {
        if self.way.is_fast() {
            return ENDS_MOST;
        }
        let (few, many) = ENDS_SIDE_BY_SIDE;
        let free = OPEN_MOST.saturating_sub(self.attempts.open()).max(1);
        let is_burst = self.fresh.len() >= OPEN_MOST * many;
        (self.fresh.len() / free).clamp(few, if is_burst { ENDS_MOST } else { many })
    }

    /// The first of these, as many as may share a request.
    fn share(&self, candidates: impl Iterator<Item = MessageNo>, most: usize) -> Vec<MessageNo> {
        let mut ends = Vec::new();
        let mut most = most;
        for no in candidates {
            most = most.min(self.ends[&no].share);
            if ends.len() >= most {
                break;
            }
            ends.push(no);
        }
        ends
    }

    fn tried(&mut self, now: Nanos, no: MessageNo) {
        let Some(end) = self.ends.get_mut(&no) else { return };
        self.fresh.remove(&(end.limit, no));
        self.again.remove(&end.rank(no));
        end.tries += 1;
        end.first_begun.get_or_insert(now);
        let longer = end.tries.saturating_sub(TRIES_AT_ONCE).min(8);
        let left = end.limit.checked_sub(now);
        let usual = (self.way.try_again_after() << longer).min(TRY_AGAIN_MOST);
        end.rests_until = now + Haste::new(left, false).try_again_after(usual);
        self.resting.insert((end.rests_until, no));
    }

    fn wake(&mut self, now: Nanos) {
        while let Some((until, no)) = self.resting.first().copied().filter(|(until, _)| *until <= now) {
            self.resting.remove(&(until, no));
            if let Some(end) = self.ends.get(&no) {
                self.again.insert(end.rank(no));
            }
        }
        if let Some((decided, _)) = self.by_age.first() {
            self.way.delayed(now, now.saturating_sub(*decided));
        }
    }

    /// When a request may begin for what is ready.
    fn begins_at(&self, now: Nanos) -> Nanos {
        let is_full = self.fresh.len() >= self.ends_in_one();
        let usual = GAP_EACH * self.attempts.open() as Nanos;
        let gap = if is_full { 0 } else { self.haste(now).gap(usual) };
        let free = self.attempts.free_at(self.patience(now));
        let ready = if self.fresh.is_empty() && !self.is_failing(now) { self.repeats_at(now) } else { 0 };
        (self.last_begun + gap).max(self.failures.pause_until).max(free).max(ready)
    }

    /// When `begin` is wanted next.
    pub fn due(&self, now: Nanos) -> Nanos {
        let woken = self.resting.first().map_or(Nanos::MAX, |(until, _)| *until);
        match self.is_ready() {
            true => self.begins_at(now),
            false => woken,
        }
    }

    /// A request was acknowledged, whose connection was up at `connected`.
    pub fn acknowledged(&mut self, now: Nanos, request: AttemptNo, connected: Nanos) -> Acknowledged {
        if let Some(begun) = self.attempts.end(request) {
            let oldest = self.requests.values().map(|open| open.begun).min().unwrap_or(begun);
            self.way.acknowledged(now, now.saturating_sub(begun), now.saturating_sub(oldest));
        }
        self.failures.end();
        self.acknowledged_at = now;
        let mut settled = Vec::new();
        if let Some(OpenRequest { begun, ends }) = self.close(request) {
            for no in ends {
                let Some(end) = self.settle(no) else { continue };
                self.way.delayed(now, now.saturating_sub(end.decided));
                self.counts.violations += u64::from(now > end.limit);
                let stages = end.stages(now, begun, connected, self.held_up);
                self.nearest.note(now, stages);
                settled.push((no, stages));
            }
        }
        Acknowledged { settled, needless: self.close_needless() }
    }

    /// Closes the requests all of whose ends are acknowledged.
    fn close_needless(&mut self) -> Vec<AttemptNo> {
        let ends = &self.ends;
        let is_needless = |members: &[MessageNo]| members.iter().all(|no| !ends.contains_key(no));
        let needless = self.requests.iter().filter(|(_, open)| is_needless(&open.ends));
        let needless: Vec<AttemptNo> = needless.map(|(request, _)| *request).collect();
        for request in &needless {
            self.close(*request);
            self.attempts.end(*request);
        }
        needless
    }

    /// A request failed: its ends may be told again.
    pub fn failed(&mut self, now: Nanos, request: AttemptNo, failure: Failure) {
        self.attempts.end(request);
        let Some(OpenRequest { ends: members, .. }) = self.close(request) else { return };
        self.counts.failed += 1;
        self.failures.note(now, failure, self.haste(now));
        let share = (members.len() / 2).max(1);
        for no in members {
            let Some(end) = self.ends.get_mut(&no) else { continue };
            if failure == Failure::Unreadable {
                end.share = end.share.min(share);
            }
            // One that cannot be read even alone rests as one that is not acknowledged.
            if failure != Failure::Unreadable || share > 1 || end.tries <= TRIES_AT_ONCE {
                self.resting.remove(&(end.rests_until, no));
                self.again.insert(end.rank(no));
            }
        }
    }

    /// Nothing is owed of this message any more.
    fn settle(&mut self, no: MessageNo) -> Option<OwedEnd> {
        let end = self.ends.remove(&no)?;
        self.fresh.remove(&(end.limit, no));
        self.again.remove(&end.rank(no));
        self.resting.remove(&(end.rests_until, no));
        self.by_age.remove(&(end.decided, no));
        self.by_limit.remove(&(end.limit, no));
        Some(end)
    }

    /// The same, where that was heard otherwise.
    pub fn forget(&mut self, no: MessageNo) {
        self.settle(no);
    }

    /// All that are owed, the first due first; nothing is owed from now on.
    pub fn take_all(&mut self) -> Vec<MessageNo> {
        let all = self.by_limit.iter().map(|(_, no)| *no).collect();
        self.clear();
        all
    }

    /// The platform is somewhere else: what is owed has been told to nobody there.
    pub fn moved(&mut self) {
        self.attempts.clear();
        self.requests.clear();
        self.repeats.clear();
        self.resting.clear();
        self.again.clear();
        self.failures = Failures::default();
        self.way.moved();
        for (no, end) in &mut self.ends {
            (end.tries, end.rests_until, end.share) = (0, 0, ENDS_MOST);
            self.fresh.insert((end.limit, *no));
        }
    }

    /// Nothing is owed here any more.
    pub fn clear(&mut self) {
        let (way, counts, held_up, nearest) = (self.way, self.counts, self.held_up, self.nearest);
        *self = Schedule { way, counts, held_up, nearest, ..Schedule::default() };
    }

    /// The platform answered something else so much later than it was to.
    pub fn answered_late(&mut self, now: Nanos, late: Nanos) {
        self.way.answered_late(now, late);
    }

    /// The event loop was held up for so long.
    pub fn held_up(&mut self, time: Nanos) {
        self.held_up += time;
    }

    /// Whether more than so many ends should have been acknowledged by now.
    pub fn is_behind(&self, now: Nanos, most: usize) -> bool {
        self.by_limit.iter().take_while(|(limit, _)| *limit < now).nth(most).is_some()
    }

    /// What ends take to arrive.
    pub fn ends_take(&self, now: Nanos) -> Nanos {
        self.way.ends_take(now)
    }

    /// How late an end would come that is owed now.
    pub fn delay_now(&self, now: Nanos) -> Nanos {
        self.way.delay_now(now)
    }

    fn haste(&self, now: Nanos) -> Haste {
        let next = self.by_limit.range((now, 0)..).next();
        let loses = self.failures.any() || self.way.loses(now);
        Haste::new(next.map(|(limit, _)| limit - now), loses)
    }

    /// How long an open request is kept at least where another is wanted.
    fn patience(&self, now: Nanos) -> Nanos {
        self.haste(now).patience(self.way.patience(), self.way.slowest(now))
    }

    /// Whether nothing came back for so long that what is open counts as lost, or requests fail at once.
    fn is_failing(&self, now: Nanos) -> bool {
        let since = self.requests.values().map(|open| open.begun).min();
        self.failures.any()
            || since.is_some_and(|begun| now >= begun.max(self.acknowledged_at) + SILENT_AFTER)
    }

    /// What is owed now.
    pub fn figures(&self, now: Nanos) -> Figures {
        Figures {
            owed: self.ends.len(),
            oldest: self.by_age.first().map_or(0, |(decided, _)| now.saturating_sub(*decided)),
            first_limit: self.by_limit.first().map(|(limit, _)| *limit),
            open: self.attempts.open(),
            acknowledged_in: self.way.acknowledged_in(),
            ends_take: self.way.ends_take(now),
            nearest: self.nearest.get(now),
            ..self.counts
        }
    }
}
