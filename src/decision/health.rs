//! What calls tell of their hosts: sound, failing, silent, down, coming back.

use super::interface::*;
use super::records::*;
use super::Relay;

const LATENCY_GAIN: f64 = 0.1; // of the smoothed latency and its deviation
const OVERDUE_DEVIATIONS: f64 = 5.0; // above the mean an answer is overdue
const OVERDUE_LEAST: Nanos = 400 * MS; // least overdue time: below lies noise
const SLOWNESS_GAIN: f64 = 0.03; // of the common slowness: latency over each host's own mean
const SLOWNESS_MOST: f64 = 4.0;
const SILENT: f64 = 2.0; // multiple of the overdue time at which a silent host is taken for down
const FAIL_GAIN: f64 = 0.2; // of the share of failed calls
const FAIL_HALVES: f64 = 4e9; // nanoseconds in which an old share halves
const SPOILT: f64 = 0.55; // of a failure: an answer that cannot be read; most of them make a host sick
const MOSTLY_FAILS: f64 = 0.5; // and above which a host is down
pub(super) const TRIAL_GAP: Nanos = 500 * MS; // least gap between trials of a host that is down
pub(super) const LOST_ONE: Nanos = 2 * SEC; // between served calls: a single failure between them is no outage
const SIGNS: u32 = 2; // failures or refusals, halved by each served call, that are more than chance
const BREAKS_EARLY: f64 = 0.5; // share of the usual latency: a break before it is the connection's
pub(super) const PACE_SPAN: Nanos = 2 * SEC; // and of accepted ones
pub(super) const PACE_CUT: f64 = 0.85; // of the pace at a refusal
const PACE_GROWTH: f64 = 0.04; // of the pace by a served call
const PACE_REGROWTH: f64 = 0.1; // the same below the pace at which it was refused
const ROOMY: f64 = 8.0; // by which both are larger where most of a told limit is left

impl Relay {
    pub(super) fn sick(&self, host: HostId) -> bool {
        matches!(self.book.hosts[&host].health, Health::Down | Health::Warming { .. })
    }

    pub(super) fn is_well(&self, host: HostId) -> bool {
        !self.sick(host) && self.fail_share(host) <= MOSTLY_FAILS && self.overdue(host) == 0
    }

    /// Whether it is in an outage, or the last turn on its way back from one is no longer ago than it takes to warm up.
    pub(super) fn may_be_cold(&self, host: HostId) -> bool {
        let turned = self.book.hosts[&host].turned_at;
        self.sick(host) || turned.is_some_and(|at| self.now < at.saturating_add(self.set.warm_up))
    }

    pub(super) fn fail_share(&self, host: HostId) -> f64 {
        let h = &self.book.hosts[&host];
        h.fail * 0.5f64.powf((self.now - h.fail_at) as f64 / FAIL_HALVES)
    }

    pub(super) fn ended(&mut self, id: MsgId, attempt: u32, outcome: Outcome, latency: Nanos, over: bool) {
        let Some(a) = self.book.attempts.remove(&(id, attempt)) else { return };
        if let Some(KeyLock { key, rest }) = &a.lock {
            // Those that wait may go by other settings than this message.
            let rest = *rest.max(&self.set.key_rest);
            let rests_until = if outcome.may_still_run() { self.now + rest } else { 0 };
            self.book.key_back(key, id, rests_until);
        }
        let first = self.book.close_call(a.call, self.now);
        if let Outcome::Full { wait: wait @ 1.. } = outcome {
            self.heed(a.host, wait);
        }
        if first {
            self.judge(a.host, a.sent, outcome, latency);
            if let Some(h) = self.book.hosts.get_mut(&a.host) {
                let early = latency as f64 <= h.latency.map_or(0.0, |l| l.0) * BREAKS_EARLY;
                let proven = h.prove_idle(outcome == Outcome::Served, a.idle);
                let broke = outcome == Outcome::Broken && early && a.idle > proven && h.bad == 1;
                h.broke_idle = broke.then_some((a.idle, proven));
                if broke && self.book.idle_safe.is_some() {
                    self.distrust_idle(a.idle, proven);
                }
            }
        }
        if let Some(f) = self.book.hosts.get(&a.host).and_then(|h| self.book.flows.get_mut(&h.dest)) {
            f.count(outcome, latency);
        }
        let zone = self.book.hosts.get(&a.host).map_or(0, |h| h.zone());
        let Some(m) = self.book.messages.get_mut(&id) else {
            self.book.leave_key(&a.lock.map(|lock| lock.key), id, self.now);
            return;
        };
        m.out = false;
        if !outcome.never_ran() && m.may_have_run.is_none() {
            m.may_have_run = Some((a.sent, zone));
        }
        let dest = m.dest;
        if over || outcome == Outcome::Served {
            self.forget(id);
        } else {
            self.book.next_end = 0;
            self.hold(id, dest);
        }
    }

    /// What a call says of its host. One that breaks is no outage yet: where there is one, others fail next.
    fn judge(&mut self, host: HostId, sent: Nanos, outcome: Outcome, latency: Nanos) {
        match outcome {
            Outcome::Served => self.served(host, sent, latency),
            Outcome::Full { wait } => self.refused(host, sent, wait),
            Outcome::Spoilt => self.note_fail(host, SPOILT),
            // A host that served others meanwhile lost this one call, unless it loses most of them.
            Outcome::TimedOut | Outcome::Cancelled if self.book.hosts[&host].last_served > sent => {
                self.note_fail(host, 1.0);
                if self.fail_share(host) > MOSTLY_FAILS {
                    self.down(host, 0);
                }
            }
            Outcome::Crowded => self.book.crowded(host, self.now, self.dice.roll()),
            Outcome::NotSent | Outcome::Doubtful => {}
            failed => self.failed(host, matches!(failed, Outcome::Cancelled | Outcome::NoConnection)),
        }
    }

    /// Something on the way may drop idle connections. Where a call breaks sooner than its host answers, and the host
    /// serves the very next one, those idle for half as long are closed before use; trust regrows. What breaks
    /// after no longer than others of its host lately served after broke for another reason.
    fn distrust_idle(&mut self, idle: Nanos, proven: Nanos) {
        self.book.idle_safe = Some((self.book.idle_safe.unwrap_or(idle).min(idle) / 2).max(proven));
    }

    fn note_fail(&mut self, host: HostId, failed: f64) {
        let now = self.now;
        let share = self.fail_share(host);
        if let Some(h) = self.book.hosts.get_mut(&host) {
            h.fail = share + FAIL_GAIN * (failed - share);
            h.fail_at = now;
            h.bad = if failed > 0.0 { h.bad.saturating_add(failed as u32) } else { 0 };
        }
    }

    fn served(&mut self, host: HostId, sent: Nanos, latency: Nanos) {
        // Refusals and further silent calls are signs of an outage as failures are.
        let once = self.book.hosts[&host].bad as usize + self.overdue(host) <= 1;
        self.note_fail(host, 0.0);
        if let Some((idle, proven)) = self.book.hosts.get_mut(&host).and_then(|h| h.broke_idle.take()) {
            self.distrust_idle(idle, proven);
        }
        let (now, warm_up) = (self.now, self.set.warm_up);
        let gap = self.cold_gap(host, 1.0) as Nanos;
        self.book.turned_unless_well(host);
        let Some(h) = self.book.hosts.get_mut(&host) else { return };
        let l = latency as f64;
        let (mean, dev) = h.latency.unwrap_or((l, l));
        self.slowness += SLOWNESS_GAIN * ((l / mean.max(1.0)).min(SLOWNESS_MOST) - self.slowness);
        h.latency = Some((mean + LATENCY_GAIN * (l - mean), dev + LATENCY_GAIN * ((l - mean).abs() - dev)));
        let brief = now < h.last_served + LOST_ONE && once;
        (h.last_served, h.signs) = (now, h.signs / 2);
        h.served.push_back(now);
        h.crowd.served();
        let (last_sent, health) = (h.last_sent, h.health);
        match health {
            // An answer to a call from before the outage says nothing of its end: taken for it, the
            // ramp would run out while the host is still away, and the backlog burst on its return.
            Health::Down | Health::Doubted if sent < h.down_at => {}
            // One lost call of a host that was not cold, and the first trial served at once: no outage.
            Health::Down if brief => self.turn(host, Health::Well, "lost one call"),
            Health::Doubted => {
                h.health = Health::Well;
                self.book.unreviewed.insert(host);
            }
            Health::Down => {
                h.next = now.max(last_sent + gap);
                self.turn(host, Health::Warming { since: now }, "answers again, warming");
            }
            Health::Warming { since } if now >= since + warm_up => self.turn(host, Health::Well, "is warm"),
            _ => {}
        }
        let few = self.few(host);
        let r = self.book.route_of(host);
        if sent >= r.refused_since {
            (r.refused, r.rest, r.level) = (0, 0, r.level / 2);
        }
        r.accepted.push_back(now);
        rate_of(&mut r.accepted, PACE_SPAN, now);
        if let Some(p) = r.pace {
            r.refill(now);
            let growth = if p < r.full_at * PACE_CUT { PACE_REGROWTH } else { PACE_GROWTH };
            let roomy = if few > 0.0 { 1.0 + ROOMY * (r.left - 0.5).max(0.0) } else { 1.0 };
            let grown = p + growth * roomy * p.max(if few > 0.0 { few } else { 1.0 });
            r.pace = Some(grown.min(r.dealt.unwrap_or(f64::MAX)));
        }
    }

    pub(super) fn turn(&mut self, host: HostId, to: Health, word: &str) {
        let Some(h) = self.book.hosts.get_mut(&host) else { return };
        h.turn(to, self.now);
        self.actions.push(Action::Log(format!("destination {} host {host} {word}", h.dest)));
        self.book.turned.insert(host);
        self.book.unreviewed.insert(host);
    }

    /// A failure that no answering host produces (`hard`), or an error: two in a row or most are an outage.
    fn failed(&mut self, host: HostId, hard: bool) {
        self.note_fail(host, 1.0);
        self.doubt(host, false);
        let h = &self.book.hosts[&host];
        if hard || h.bad >= 2 || self.sick(host) || self.fail_share(host) > MOSTLY_FAILS {
            self.down(host, 0);
        }
    }

    /// A failed or refused call may be the first of an outage: this relay now counts as one that knew. One failed
    /// call is tried again at once; one refused is spread like a crowd. From two signs on (with a known rate at
    /// once) it keeps to its part of the cold budget until a call is served.
    pub(super) fn doubt(&mut self, host: HostId, refused: bool) {
        let (crowd, gap) = (self.crowd_gap(host), self.dice.roll() * self.cold_gap(host, 1.0));
        let Some(h) = self.book.hosts.get_mut(&host) else { return };
        h.signs = (h.signs + 1).min(2 * SIGNS); // so two served calls outweigh any outage
        let once = h.signs < SIGNS;
        if h.health == Health::Well && !(once && (!refused || h.best_rate > 0.0)) {
            (h.health, h.down_at, h.next) = (Health::Doubted, self.now, 0);
        }
        if h.health == Health::Doubted {
            h.next = h.next.max(self.now + if once { crowd } else { gap as Nanos });
        }
        self.book.turned_unless_well(host);
        self.book.unreviewed.insert(host);
    }

    pub(super) fn down(&mut self, host: HostId, until: Nanos) {
        let gap = self.gap_before_first_trial(host);
        let Some(h) = self.book.hosts.get_mut(&host) else { return };
        h.next = h.next.max(until);
        if h.health != Health::Down {
            h.next = h.next.max(self.now + gap);
            h.down_at = self.now;
            self.turn(host, Health::Down, "is taken for down");
        }
    }

    /// From the beginning of an outage to the first trial: relays that meet it together do not try together.
    pub(super) fn gap_before_first_trial(&mut self, host: HostId) -> Nanos {
        let gap = (self.dice.roll() * self.cold_gap(host, 1.0)) as Nanos;
        let first = (TRIAL_GAP as f64 * (1.0 + self.dice.roll())) as Nanos;
        gap.max(first)
    }

    /// Latency beyond which an answer is overdue; looser when all hosts are slow together.
    pub(super) fn overdue_after(&self, host: HostId) -> Nanos {
        let slow = self.slowness.max(1.0);
        match self.book.hosts.get(&host).and_then(|h| h.latency) {
            Some((mean, dev)) => (((mean + OVERDUE_DEVIATIONS * dev) * slow) as Nanos).max(OVERDUE_LEAST),
            None => self.set.classes.iter().map(|c| c.aim / 2).min().unwrap_or(SEC),
        }
    }

    pub(super) fn overdue(&self, host: HostId) -> usize {
        let Some(h) = self.book.hosts.get(&host).filter(|h| h.out > 0) else { return 0 };
        let (limit, served) = (self.overdue_after(host), h.last_served);
        self.book.calls_to(host).filter(|c| c.sent >= served && self.now - c.sent > limit).count()
    }

    pub(super) fn silent_at(&self, c: &Call) -> Nanos {
        c.sent + (SILENT * self.overdue_after(c.host) as f64) as Nanos
    }

    /// A host that takes calls and answers none is down long before its calls time out.
    pub(super) fn watch_silence(&mut self) {
        let late =
            |c: &&Call| self.book.hosts[&c.host].last_served <= c.sent && self.silent_at(c) <= self.now;
        let silent: Vec<HostId> = self.book.calls.values().filter(late).map(|c| c.host).collect();
        silent.into_iter().for_each(|host| self.down(host, 0));
    }
}
