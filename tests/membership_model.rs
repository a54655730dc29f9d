//! Membership as a model, on the roll that the program itself keeps: three relays, one of which may be killed, started
//! again or say goodbye, while whatever is said may be lost, repeated or come late, in any order. Every state that can
//! come of it is looked at.

use basaltloom::membership::roll::Roll;
use basaltloom::membership::wire::{Claim, Said};
use basaltloom::membership::{Life, State};
use stateright::{Checker, HasDiscoveries, Model, Property};

const N: usize = 3;
/// Claims that are sent in all: three take some minutes, and show nothing more.
const TOLD: u8 = 2;

/// A step of the protocol that is left out, to see what it guards.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Without {
    Nothing,
    /// A relay does not answer what is said of it.
    Refuting,
    /// What is told of one held to be faulty brings it back without its own answer.
    Proof,
    /// Those held to be faulty are not tried any more.
    Reach,
    /// A process that starts again goes on with the life of the one before.
    NewLife,
}

struct Fleet(Without);

/// What relays did, all together: each may do so much of it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Done {
    kills: u8,
    starts: u8,
    goodbyes: u8,
    accused: u8,
    told: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    rolls: Vec<Roll>,
    /// None: it does not run.
    lives: Vec<Option<Life>>,
    /// The last life of each.
    born: Vec<u64>,
    /// Claims on their way, by whom and to whom: they may come never, or again and again.
    claims: Vec<(usize, usize, Telling)>,
    done: Done,
    /// A life that had ended, and was known to have, was held to be there again.
    revived: bool,
}

/// A claim as it is on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Telling {
    about: usize,
    life: Life,
    said: u8,
    by: usize,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    /// The first gets no answer from the second.
    Accuse(usize, usize),
    Expire(usize, usize),
    /// The first says what it holds of the third, for the second; of itself where those are the same.
    Tell(usize, usize, usize),
    Hear(usize),
    /// The first probes the second, and is answered.
    Probe(usize, usize),
    Kill(usize),
    Start(usize),
    Goodbye(usize),
}

fn name(i: usize) -> String {
    format!("r{i}")
}

const SAID: [Said; 4] = [Said::Alive, Said::Suspect, Said::Faulty, Said::Left];

fn claim(t: &Telling) -> Claim {
    Claim {
        name: name(t.about),
        address: ([127, 0, 0, t.about as u8 + 1], 7).into(),
        room: String::new(),
        life: t.life,
        said: SAID[t.said as usize],
        by: if matches!(SAID[t.said as usize], Said::Suspect | Said::Faulty) {
            name(t.by)
        } else {
            String::new()
        },
        version: 0,
        record: None,
    }
}

impl World {
    fn state(&self, i: usize, of: usize) -> Option<(State, Life)> {
        self.rolls[i].get(&name(of)).map(|m| (m.state, m.life))
    }

    fn there(&self, i: usize, of: usize) -> bool {
        self.state(i, of).is_some_and(|(s, _)| s.there())
    }

    /// What one holds of another, as it would say it.
    fn telling(&self, i: usize, about: usize) -> Option<Telling> {
        if i == about {
            return self.lives[i].map(|life| Telling { about, life, said: 0, by: i });
        }
        let (state, life) = self.state(i, about)?;
        let said = match state {
            State::Alive => 0,
            State::Suspect => 1,
            State::Faulty => 2,
            State::Left => 3,
        };
        Some(Telling { about, life, said, by: i })
    }

    /// Whether what one does to its roll brings back a life that it knew to have ended.
    fn watch(&mut self, i: usize, f: impl FnOnce(&mut Roll)) {
        let before: Vec<Option<(State, Life)>> = (0..N).map(|of| self.state(i, of)).collect();
        f(&mut self.rolls[i]);
        for (of, before) in before.into_iter().enumerate() {
            let (Some((was, life)), Some((is, now))) = (before, self.state(i, of)) else { continue };
            let ended = self.lives[of].is_none_or(|l| l.born > now.born);
            self.revived |= !was.there() && is.there() && now.born == life.born && ended;
        }
    }

    fn hear(&mut self, without: Without, to: usize, told: &Telling) {
        let claim = claim(told);
        if told.about == to {
            let Some(life) = self.lives[to] else { return };
            if let Some(next) = life.refuting(&claim).filter(|_| without != Without::Refuting) {
                self.lives[to] = Some(next);
                self.born[to] = self.born[to].max(next.born);
            }
            return;
        }
        self.watch(to, |roll| _ = roll.merge(0, &claim, without != Without::Proof));
    }

    /// A probe and its answer: the probed one hears what is held against it first.
    fn probe(&mut self, without: Without, i: usize, of: usize) {
        if let Some(held) = self.telling(i, of) {
            self.hear(without, of, &held);
        }
        if let Some(life) = self.lives[of] {
            let proof = claim(&Telling { about: of, life, said: 0, by: of });
            self.watch(i, |roll| _ = roll.prove(0, &proof));
        }
    }

    /// Faults have ended: all probe, tell one another all, and what is accused and does not answer runs out.
    fn settled(&self, without: Without) -> World {
        let mut w = self.clone();
        let running = |w: &World| (0..N).filter(|i| w.lives[*i].is_some()).collect::<Vec<usize>>();
        for _ in 0..4 {
            for i in running(&w) {
                for of in (0..N).filter(|of| *of != i) {
                    let state = w.state(i, of).map(|s| s.0);
                    let tried = match state {
                        Some(State::Faulty) => without != Without::Reach,
                        Some(State::Left) => false,
                        // All know an address to join by.
                        _ => true,
                    };
                    if w.lives[of].is_some() && tried {
                        w.probe(without, i, of);
                    } else if w.there(i, of) {
                        let round = w.state(i, of).map_or(0, |(_, l)| l.round);
                        w.watch(i, |roll| {
                            _ = roll.accuse(0, &name(of), round, &name(i), false);
                            roll.fault(0, &name(of));
                        });
                    }
                }
                for to in running(&w).into_iter().filter(|to| *to != i) {
                    if !w.there(i, to) {
                        continue;
                    }
                    for about in (0..N).filter(|about| *about != to) {
                        if let Some(told) = w.telling(i, about) {
                            w.hear(without, to, &told);
                        }
                    }
                }
            }
        }
        w
    }

    /// Those that run hold one another to be there.
    fn living_in(&self) -> bool {
        let running: Vec<usize> = (0..N).filter(|i| self.lives[*i].is_some()).collect();
        running.iter().all(|i| running.iter().all(|of| i == of || self.there(*i, *of)))
    }

    /// Nobody that runs holds one to be there that does not.
    fn dead_out(&self) -> bool {
        (0..N)
            .filter(|i| self.lives[*i].is_some())
            .all(|i| (0..N).all(|of| i == of || self.lives[of].is_some() || !self.there(i, of)))
    }
}

impl Model for Fleet {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let lives: Vec<Option<Life>> = (0..N).map(|_| Some(Life { born: 1, round: 0 })).collect();
        let mut w = World {
            rolls: vec![Roll::default(); N],
            lives,
            born: vec![1; N],
            claims: Vec::new(),
            done: Done::default(),
            revived: false,
        };
        for i in 0..N {
            for of in (0..N).filter(|of| *of != i) {
                w.probe(Without::Nothing, i, of);
            }
        }
        vec![w]
    }

    fn actions(&self, w: &World, actions: &mut Vec<Step>) {
        for i in (0..N).filter(|i| w.lives[*i].is_some()) {
            for of in (0..N).filter(|of| *of != i) {
                match w.state(i, of).map(|s| s.0) {
                    // Any probe may be lost, and so may its answer.
                    Some(State::Alive) if w.done.accused < 2 => actions.push(Step::Accuse(i, of)),
                    Some(State::Suspect) => actions.push(Step::Expire(i, of)),
                    _ => {}
                }
                if w.lives[of].is_some()
                    && w.state(i, of).is_some_and(|s| s.0 != State::Alive && s.0 != State::Left)
                {
                    actions.push(Step::Probe(i, of));
                }
                if w.done.told < TOLD {
                    actions.extend((0..N).filter(|about| *about != of).map(|about| Step::Tell(i, of, about)));
                }
            }
            // One is enough to see what can come of it.
            if i == 2 && w.done.kills < 1 {
                actions.push(Step::Kill(i));
            }
            if i == 2 && w.done.goodbyes < 1 {
                actions.push(Step::Goodbye(i));
            }
        }
        if w.lives[2].is_none() && w.done.starts < 1 {
            actions.push(Step::Start(2));
        }
        actions.extend((0..w.claims.len()).map(Step::Hear));
    }

    fn next_state(&self, w: &World, step: Step) -> Option<World> {
        let mut next = w.clone();
        match step {
            Step::Accuse(i, of) => {
                next.done.accused += 1;
                let round = next.state(i, of).map_or(0, |(_, l)| l.round);
                next.watch(i, |roll| _ = roll.accuse(0, &name(of), round, &name(i), false));
            }
            Step::Expire(i, of) => next.watch(i, |roll| roll.fault(0, &name(of))),
            Step::Tell(i, to, about) => {
                let told = next.telling(i, about)?;
                next.done.told += 1;
                if next.claims.iter().any(|(_, at, t)| *at == to && *t == told) {
                    return None;
                }
                next.claims.push((i, to, told));
                next.claims.sort_by(|a, b| (a.1, &a.2).cmp(&(b.1, &b.2)));
            }
            Step::Hear(at) => {
                let (_, to, told) = next.claims[at].clone();
                // A process that does not run hears nothing.
                next.lives[to]?;
                next.hear(self.0, to, &told);
            }
            Step::Probe(i, of) => next.probe(self.0, i, of),
            Step::Kill(i) => {
                next.done.kills += 1;
                next.lives[i] = None;
                next.rolls[i] = Roll::default();
            }
            Step::Goodbye(i) => {
                next.done.goodbyes += 1;
                let life = next.lives[i].take()?;
                next.rolls[i] = Roll::default();
                // Heard by one; the other may hear of it or not.
                next.hear(self.0, 0, &Telling { about: i, life, said: 3, by: i });
            }
            Step::Start(i) => {
                next.done.starts += 1;
                let new = u64::from(self.0 != Without::NewLife);
                next.born[i] += new;
                next.lives[i] = Some(Life { born: next.born[i], round: 0 });
                next.rolls[i] = Roll::default();
            }
        }
        (next != *w).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Fleet>> {
        vec![
            Property::always("no ended life comes back", |_, w: &World| !w.revived),
            Property::always("those that run are in once faults end", |m: &Fleet, w: &World| {
                w.settled(m.0).living_in()
            }),
            Property::always("those that do not are out once faults end", |m: &Fleet, w: &World| {
                w.settled(m.0).dead_out()
            }),
        ]
    }
}

/// The properties that a model breaks.
fn broken(without: Without, until: HasDiscoveries) -> Vec<&'static str> {
    let checker = Fleet(without).checker().threads(4).finish_when(until).spawn_bfs().join();
    assert!(
        without != Without::Nothing || checker.unique_state_count() > 10_000,
        "{}",
        checker.unique_state_count()
    );
    let mut names: Vec<&'static str> = checker.discoveries().into_keys().collect();
    names.sort_unstable();
    names
}

/// Guards the protocol itself: in no order of events does an ended life come back, nor is one that runs out for good, nor
/// one that does not in.
#[test]
fn views_agree_in_every_order_of_events() {
    assert_eq!(broken(Without::Nothing, HasDiscoveries::Any), [""; 0]);
}

/// Guards the guards: with a step taken out the property that it guards is broken.
#[test]
fn each_step_guards_a_property() {
    for (without, property) in [
        (Without::Refuting, "those that run are in once faults end"),
        (Without::Proof, "no ended life comes back"),
        (Without::Reach, "those that run are in once faults end"),
        (Without::NewLife, "those that run are in once faults end"),
    ] {
        let broken = broken(without, HasDiscoveries::AnyOf([property].into()));
        assert!(broken.contains(&property), "{without:?}: {broken:?}");
    }
}
