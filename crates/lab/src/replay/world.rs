//! The world of one run: an ordered queue of what is due, the fake targets, and the account of what they saw.
//!
//! A [`Policy`] decides; the world only carries its tries to targets and its messages to itself, and counts on its own
//! what ran, what was answered and what was ejected.

use std::collections::{BTreeMap, BTreeSet};

use peridotspread::coordination::cell;
use peridotspread::protocol::refusal;
use peridotspread::state::clock;

use crate::replay::measures;
use crate::replay::scene;
use crate::replay::target;
use crate::replay::trace;
use crate::rng;

/// How long after the last arrival a run goes on.
const TAIL: clock::Millis = clock::Millis(5_000);

/// How long after its deadline a caller still reads an answer.
const CALLER_GRACE: clock::Millis = clock::Millis(200);

/// The latency between a daemon and a target in the same failure domain, one way.
const LOCAL_HOP: clock::Millis = clock::Millis::ZERO;

/// A gray target that still gets requests in this last share of its fault was never found.
const NEVER_SHARE: f64 = 0.1;

/// What decides: the fleet's policy or the baseline.
pub trait Policy {
    /// What the policy sends from daemon to daemon, or to itself for later.
    type Message;

    /// Takes one input, and acts on the world.
    fn handle(&mut self, world: &mut World<Self::Message>, input: Input<Self::Message>);
}

/// What happens to a policy.
#[derive(Debug)]
pub enum Input<M> {
    /// The request of this index arrives at its entry.
    Request(usize),
    /// A try has ended, as its daemon sees it.
    Ended {
        /// The try.
        id: target::TryId,
        /// How.
        outcome: cell::Outcome,
    },
    /// A message of its own is due.
    Message(M),
    /// The list of targets changed.
    Rules,
}

/// What a caller is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The target's answer.
    Served,
    /// The target's failure.
    Failed,
    /// A refusal.
    Refused(refusal::Refusal),
}

#[derive(Debug)]
enum Due<M> {
    Request(usize),
    Caller(usize),
    Reach(target::TryId),
    Finish(target::TryId),
    Turn(usize),
    Leave(usize),
    Ended {
        id: target::TryId,
        outcome: cell::Outcome,
    },
    Message {
        daemon: usize,
        message: M,
    },
}

#[derive(Debug)]
struct Try {
    request: usize,
    target: usize,
    daemon: usize,
    over: bool,
}

#[derive(Clone, Copy, Debug, Default)]
struct Account {
    tries: usize,
    runs: usize,
    answer: Option<Answer>,
    closed: bool,
}

/// The world of one run.
#[derive(Debug)]
pub struct World<M> {
    scene: scene::Scene,
    now: clock::Millis,
    queue: BTreeMap<(clock::Millis, u64), Due<M>>,
    issued: u64,
    targets: Vec<target::Target>,
    tries: Vec<Try>,
    accounts: Vec<Account>,
    key_runs: BTreeMap<u64, usize>,
    luck: rng::Rng,
    resends: rng::Rng,
    /// Ejections in force: the daemon and the target.
    ejected: BTreeSet<(usize, usize)>,
    /// What the ejection by one daemon takes from a target's capacity.
    weight: f64,
    breached: bool,
    last_new: Vec<Option<clock::Millis>>,
    run: measures::Run,
}

impl<M> World<M> {
    /// Creates the world of a scene; `weight` is what one daemon's ejection takes from a target's capacity.
    pub fn new(scene: scene::Scene, seed: u64, weight: f64) -> World<M> {
        let targets: Vec<_> = scene
            .service
            .targets
            .iter()
            .zip(&scene.spells)
            .map(|(t, spells)| target::Target::new(t.slots, spells.clone()))
            .collect();
        let mut world = World {
            now: clock::Millis::ZERO,
            queue: BTreeMap::new(),
            issued: 0,
            tries: Vec::new(),
            accounts: vec![Account::default(); scene.requests.len()],
            key_runs: BTreeMap::new(),
            luck: scene::draws(seed, scene::Purpose::Luck),
            resends: scene::draws(seed, scene::Purpose::Resends),
            ejected: BTreeSet::new(),
            weight,
            breached: false,
            last_new: vec![None; targets.len()],
            run: measures::Run::default(),
            targets,
            scene,
        };
        world.plan();
        world
    }

    /// Runs `policy` to the end and returns what the run showed.
    pub fn play(mut self, policy: &mut dyn Policy<Message = M>) -> measures::Run {
        let end = self.scene.span + TAIL;
        policy.handle(&mut self, Input::Rules);
        while let Some(((at, _), due)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(input) = self.advance(due) {
                policy.handle(&mut self, input);
            }
        }
        self.sum_up()
    }

    /// Returns the scene.
    pub fn scene(&self) -> &scene::Scene {
        &self.scene
    }

    /// Returns the time.
    pub fn now(&self) -> clock::Millis {
        self.now
    }

    /// Returns a request by its index.
    pub fn request(&self, at: usize) -> &scene::Request {
        &self.scene.requests[at]
    }

    /// Delivers a message to a daemon after a time; one that is paused takes it when it wakes.
    pub fn after(&mut self, span: clock::Millis, daemon: usize, message: M) {
        self.schedule(self.now + span, Due::Message { daemon, message });
    }

    /// Sends a message from one daemon to another, over a link that may lose it.
    pub fn send(&mut self, from: usize, to: usize, message: M) {
        if !self.scene.lost(from, to, self.now) {
            let span = self.latency(from, &self.scene.places[to]);
            self.after(span, to, message);
        }
    }

    /// Sends a request from a daemon to a target; a trial finds out whether a target that is passed over has recovered.
    pub fn dispatch(
        &mut self,
        request: usize,
        daemon: usize,
        target: usize,
        trial: bool,
    ) -> target::TryId {
        let id = target::TryId(self.tries.len());
        self.tries.push(Try {
            request,
            target,
            daemon,
            over: false,
        });
        self.accounts[request].tries += 1;
        self.note_new(target, trial);
        if !self.scene.cut_off(daemon, false, self.now) {
            let span = self.target_latency(daemon, target);
            self.schedule(self.now + span, Due::Reach(id));
        }
        id
    }

    /// Cancels a try; its outcome is no longer told.
    pub fn cancel(&mut self, id: target::TryId) {
        self.tries[id.0].over = true;
        let target = self.tries[id.0].target;
        let effects = self.targets[target].cancel(self.now, id);
        self.apply(effects);
    }

    /// Answers a caller; only the first answer reaches them.
    pub fn answer(&mut self, request: usize, answer: Answer) {
        let account = &mut self.accounts[request];
        if account.closed {
            return;
        }
        account.closed = true;
        account.answer = Some(answer);
        self.settle(request, answer == Answer::Served);
    }

    /// Tells whether the caller has been answered or has left.
    pub fn closed(&self, request: usize) -> bool {
        self.accounts[request].closed
    }

    /// Notes that a daemon begins or ceases to eject a target.
    pub fn mark_ejected(&mut self, daemon: usize, target: usize, ejected: bool) {
        if !ejected {
            self.ejected.remove(&(daemon, target));
        } else if self.ejected.insert((daemon, target)) {
            self.note_ejection(target);
        }
        self.check_floor();
    }

    fn plan(&mut self) {
        for at in 0..self.scene.requests.len() {
            self.schedule(self.scene.requests[at].at, Due::Request(at));
        }
        for target in 0..self.targets.len() {
            for spell in self.scene.spells[target].clone() {
                if let trace::Fault::Drain { lag_ms } = spell.fault {
                    self.schedule(spell.from + lag_ms, Due::Leave(target));
                }
                for turn in spell.turns() {
                    self.schedule(turn, Due::Turn(target));
                }
            }
        }
    }

    fn schedule(&mut self, at: clock::Millis, due: Due<M>) {
        self.issued += 1;
        self.queue.insert((at, self.issued), due);
    }

    /// Moves the world on by one item, and returns what the policy gets to see of it.
    fn advance(&mut self, due: Due<M>) -> Option<Input<M>> {
        if let Some(until) = self.pause(&due) {
            self.schedule(until, due);
            return None;
        }
        match due {
            Due::Request(at) => {
                let left = self.scene.requests[at].deadline + CALLER_GRACE;
                self.schedule(left, Due::Caller(at));
                return Some(Input::Request(at));
            }
            Due::Caller(at) => self.leave(at),
            Due::Reach(id) => self.reach(id),
            Due::Finish(id) => {
                let target = self.tries[id.0].target;
                let effects = self.targets[target].finish(self.now, id);
                self.apply(effects);
            }
            Due::Turn(target) => {
                let effects = self.targets[target].turn(self.now);
                self.apply(effects);
            }
            Due::Leave(target) => {
                self.scene.service.targets[target].leaving = true;
                self.check_floor();
                return Some(Input::Rules);
            }
            Due::Ended { id, outcome } => {
                let current = !std::mem::replace(&mut self.tries[id.0].over, true);
                return current.then_some(Input::Ended { id, outcome });
            }
            Due::Message { message, .. } => return Some(Input::Message(message)),
        }
        None
    }

    /// Returns until when what is due waits for a daemon that is paused.
    fn pause(&self, due: &Due<M>) -> Option<clock::Millis> {
        let daemon = match due {
            Due::Request(at) => self.scene.requests[*at].entry,
            Due::Ended { id, .. } => self.tries[id.0].daemon,
            Due::Message { daemon, .. } => *daemon,
            _ => return None,
        };
        self.scene.paused(daemon, self.now)
    }

    fn reach(&mut self, id: target::TryId) {
        let request = self.tries[id.0].request;
        if self.tries[id.0].over {
            return;
        }
        let job = target::Job {
            id,
            work: self.scene.requests[request].work,
            crash: self.scene.requests[request].crash,
            luck: self.luck.unit(),
        };
        let target = self.tries[id.0].target;
        let effects = self.targets[target].take(self.now, job);
        self.apply(effects);
    }

    fn apply(&mut self, effects: Vec<target::Effect>) {
        for effect in effects {
            match effect {
                target::Effect::Started(id) => self.note_run(id),
                target::Effect::FinishAt(id, at) => self.schedule(at, Due::Finish(id)),
                target::Effect::Ended(id, outcome) => self.report(id, outcome),
            }
        }
    }

    /// Sends a try's outcome back to its daemon.
    fn report(&mut self, id: target::TryId, outcome: cell::Outcome) {
        let Try { daemon, target, .. } = self.tries[id.0];
        if self.scene.cut_off(daemon, true, self.now) {
            return;
        }
        let span = self.target_latency(daemon, target);
        self.schedule(self.now + span, Due::Ended { id, outcome });
    }

    fn target_latency(&self, daemon: usize, target: usize) -> clock::Millis {
        self.latency(daemon, &self.scene.service.targets[target].domain)
    }

    fn latency(&self, daemon: usize, place: &str) -> clock::Millis {
        if self.scene.places[daemon] == place {
            LOCAL_HOP
        } else {
            self.scene.hop
        }
    }

    fn leave(&mut self, request: usize) {
        if !std::mem::replace(&mut self.accounts[request].closed, true) {
            self.settle(request, false);
        }
    }

    /// Counts a request that is over for its caller, who may send it again.
    fn settle(&mut self, at: usize, served: bool) {
        let request = self.scene.requests[at];
        if !request.crash {
            let share = self.run.tiers.entry(request.tier).or_default();
            share.all += 1;
            share.served += usize::from(served);
            let late = self.now > request.at + request.work + self.scene.harm;
            self.run.harmed += usize::from(!served || late);
            if !served {
                let cause = cause(self.accounts[at].answer);
                *self.run.causes.entry((request.tier, cause)).or_default() += 1;
            }
        }
        if !served && request.resends > 0 {
            self.resend(&request);
        }
    }

    fn resend(&mut self, request: &scene::Request) {
        let now = self.now + scene::RESEND_DELAY;
        let span = request.deadline - request.at;
        self.scene.requests.push(scene::Request {
            at: now,
            entry: self.resends.below(self.scene.names.len()),
            deadline: now + span,
            resends: request.resends - 1,
            ..*request
        });
        self.accounts.push(Account::default());
        self.schedule(now, Due::Request(self.accounts.len() - 1));
    }

    fn note_run(&mut self, id: target::TryId) {
        let at = self.tries[id.0].request;
        self.accounts[at].runs += 1;
        let request = self.scene.requests[at];
        self.run.crashes += usize::from(request.crash);
        let runs = match request.key {
            Some(key) => {
                let runs = self.key_runs.entry(key).or_default();
                *runs += 1;
                *runs
            }
            None => self.accounts[at].runs,
        };
        self.run.ran_twice += usize::from(!request.idempotent && runs > 1);
    }

    fn note_new(&mut self, target: usize, trial: bool) {
        if trial {
            self.run.trials += 1;
            return;
        }
        let faulty = |s: &target::Spell| s.from <= self.now && self.now < s.to;
        if self.scene.gray_spells(target).any(faulty) {
            self.last_new[target] = Some(self.now);
        }
    }

    fn note_ejection(&mut self, target: usize) {
        let excused =
            self.scene.excused(target, self.now) || self.targets[target].restarting(self.now);
        if !excused {
            self.run.false_ejections += self.weight;
        }
    }

    fn check_floor(&mut self) {
        let targets = &self.scene.service.targets;
        let mut serving = targets.iter().filter(|t| !t.leaving).count() as f64;
        let mut taken = BTreeMap::<usize, f64>::new();
        for (daemon, target) in &self.ejected {
            // A paused daemon withholds nothing; what it believes counts again once it acts.
            let paused = self.scene.paused(*daemon, self.now).is_some();
            if !paused && !targets[*target].leaving {
                *taken.entry(*target).or_default() += self.weight;
            }
        }
        serving -= taken.values().map(|w| w.min(1.0)).sum::<f64>();
        const ROUNDING: f64 = 1e-6;
        let breached = !taken.is_empty() && serving + ROUNDING < self.scene.service.floor as f64;
        self.run.floor_breaches += usize::from(breached && !self.breached);
        self.breached = breached;
    }

    fn sum_up(mut self) -> measures::Run {
        self.run.requests = self.accounts.len();
        self.run.retries = self
            .accounts
            .iter()
            .map(|a| a.tries.saturating_sub(1))
            .sum();
        let not_run = |a: &&Account| matches!(a.answer, Some(Answer::Refused(r)) if r.outcome == refusal::Outcome::NotRun);
        self.run.ran_though_refused = self
            .accounts
            .iter()
            .filter(not_run)
            .filter(|a| a.runs > 0)
            .count();
        for target in 0..self.targets.len() {
            self.sum_up_target(target);
        }
        self.run
    }

    fn sum_up_target(&mut self, target: usize) {
        let from = self.scene.gray_spells(target).map(|s| s.from).min();
        let to = self.scene.gray_spells(target).map(|s| s.to).max();
        let (Some(from), Some(to)) = (from, to) else {
            self.run.healthy += self.scene.span;
            return;
        };
        let to = to.min(self.scene.span);
        self.run.healthy += self.scene.span - (to - from);
        let last = self.last_new[target].unwrap_or(from);
        let tail = (to - from).scaled(NEVER_SHARE);
        self.run.detections.push(if last + tail >= to {
            measures::Detection::Never
        } else {
            measures::Detection::After(last - from)
        });
    }
}

/// Names what a caller was told in place of the target's answer.
fn cause(answer: Option<Answer>) -> &'static str {
    match answer {
        Some(Answer::Refused(refusal)) => refusal.cause.as_str(),
        Some(Answer::Failed) => "failed",
        Some(Answer::Served) | None => "no-answer",
    }
}
