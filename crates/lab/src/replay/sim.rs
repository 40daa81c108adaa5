//! The simulation of one run: a queue of events in the order of time, the simulated targets, and the measurements.
//!
//! A [`Policy`] makes the decisions. The simulation delivers its tries to targets and its messages between daemons, and
//! records independently of the policy which requests ran, which were answered and which targets were ejected.

use std::collections::{BTreeMap, BTreeSet};

use peridotspread::coordination::cell;
use peridotspread::coordination::scarcity;
use peridotspread::protocol::{peer, refusal};
use peridotspread::state::clock;

use crate::replay::measures;
use crate::replay::scenario;
use crate::replay::target;
use crate::replay::trace;
use crate::rng;

/// The time for which a run continues after arrivals have ended.
const TAIL: clock::Millis = clock::Millis(5_000);

/// The time after its deadline during which a caller still accepts an answer.
const CALLER_GRACE: clock::Millis = clock::Millis(200);

/// The one-way latency within a failure domain.
const LOCAL_HOP: clock::Millis = clock::Millis::ZERO;

/// The last share of a fault's duration: a gray target that still receives new requests in it counts as not detected.
const NEVER_SHARE: f64 = 0.1;

/// The decision logic that is simulated: the policy of the fleet or the baseline.
pub trait Policy {
    /// A message between daemons, or a timer of a daemon.
    type Message;

    /// Handles one input and acts on the simulation.
    fn handle(&mut self, sim: &mut Simulation<Self::Message>, input: Input<Self::Message>);
}

/// An event that the policy must handle.
#[derive(Debug)]
pub enum Input<M> {
    /// The request with this index arrives at its entry.
    Request(usize),
    /// The daemon that sent a try observes its end.
    TryEnded {
        /// The try.
        id: target::TryId,
        /// The outcome, as the daemon observes it.
        outcome: cell::Outcome,
        /// What the target states in its response.
        statement: peer::Statement,
    },
    /// A message or timer of the policy is delivered.
    Message(M),
    /// The list of targets has changed; also sent once at the start.
    Rules,
}

/// The answer to a caller.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// A successful response of the target.
    Served,
    /// A failure response of the target.
    Failed,
    /// A refusal by the fleet.
    Refused(refusal::Refusal),
}

/// An event in the queue of the simulation; the indices are of requests or targets.
#[derive(Debug)]
enum Event<M> {
    Arrival(usize),
    CallerTimeout(usize),
    TargetArrival(target::TryId),
    Finish(target::TryId),
    FaultTransition(usize),
    TargetLeaves(usize),
    TryEnded {
        id: target::TryId,
        outcome: cell::Outcome,
        statement: peer::Statement,
    },
    Message {
        daemon: usize,
        message: M,
    },
}

/// A try; `finished` is set once the daemon has observed its end or cancelled it.
#[derive(Debug)]
struct Try {
    request: usize,
    target: usize,
    daemon: usize,
    finished: bool,
}

/// The record of a request: the numbers of its tries and runs, and the answer to its caller.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    tries: usize,
    runs: usize,
    answer: Option<Answer>,
    closed: bool,
}

/// The state of the simulation of one run.
#[derive(Debug)]
pub struct Simulation<M> {
    scenario: scenario::Scenario,
    now: clock::Millis,
    queue: BTreeMap<(clock::Millis, u64), Event<M>>,
    /// The number of events queued so far, which orders events of the same time.
    sequence: u64,
    targets: Vec<target::Target>,
    tries: Vec<Try>,
    records: Vec<Record>,
    /// The number of runs of each idempotency key.
    key_runs: BTreeMap<u64, usize>,
    failure_rng: rng::Rng,
    resend_rng: rng::Rng,
    /// The ejections in force, as pairs of daemon and target.
    ejected: BTreeSet<(usize, usize)>,
    /// The share of a target's capacity that an ejection by one daemon removes.
    ejection_weight: f64,
    below_floor: bool,
    /// The time of the last new request that each target received during a fault of its own.
    last_new: Vec<Option<clock::Millis>>,
    measured: measures::Run,
}

impl<M> Simulation<M> {
    /// Creates the simulation of a scenario; `ejection_weight` is the share of a target's capacity that an ejection by
    /// one daemon removes.
    pub fn new(scenario: scenario::Scenario, seed: u64, ejection_weight: f64) -> Simulation<M> {
        let targets: Vec<_> = scenario
            .service
            .targets
            .iter()
            .zip(&scenario.target_faults)
            .map(|(t, windows)| target::Target::new(t.slots, windows.clone()))
            .collect();
        let mut sim = Simulation {
            now: clock::Millis::ZERO,
            queue: BTreeMap::new(),
            sequence: 0,
            tries: Vec::new(),
            records: vec![Record::default(); scenario.requests.len()],
            key_runs: BTreeMap::new(),
            failure_rng: scenario::random(seed, scenario::Purpose::Failures),
            resend_rng: scenario::random(seed, scenario::Purpose::Resends),
            ejected: BTreeSet::new(),
            ejection_weight,
            below_floor: false,
            last_new: vec![None; targets.len()],
            measured: measures::Run::default(),
            targets,
            scenario,
        };
        sim.schedule_scenario();
        sim
    }

    /// Runs the scenario with `policy` to the end and returns the measurements.
    pub fn run(mut self, policy: &mut dyn Policy<Message = M>) -> measures::Run {
        let end = self.scenario.span + TAIL;
        policy.handle(&mut self, Input::Rules);
        while let Some(((at, _), event)) = self.queue.pop_first() {
            if at > end {
                break;
            }
            self.now = at;
            if let Some(input) = self.apply_event(event) {
                policy.handle(&mut self, input);
            }
        }
        self.summarise()
    }

    /// Returns the scenario.
    pub fn scenario(&self) -> &scenario::Scenario {
        &self.scenario
    }

    /// Returns the current time.
    pub fn now(&self) -> clock::Millis {
        self.now
    }

    /// Returns the request with this index.
    pub fn request(&self, at: usize) -> &scenario::Request {
        &self.scenario.requests[at]
    }

    /// Delivers a message to a daemon after `span`; a paused daemon receives it when the pause ends.
    pub fn schedule_message(&mut self, span: clock::Millis, daemon: usize, message: M) {
        self.schedule(self.now + span, Event::Message { daemon, message });
    }

    /// Sends a message from one daemon to another; it is lost if the link is faulty.
    pub fn send(&mut self, from: usize, to: usize, message: M) {
        if !self.scenario.peer_link_lost(from, to, self.now) {
            let span = self.latency(from, &self.scenario.daemon_domains[to]);
            self.schedule_message(span, to, message);
        }
    }

    /// Sends a request from a daemon to a target; `trial` marks a half-open try at an avoided or ejected target.
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
            finished: false,
        });
        self.records[request].tries += 1;
        self.record_dispatch(target, trial);
        if !self.scenario.target_link_lost(daemon, false, self.now) {
            let span = self.target_latency(daemon, target);
            self.schedule(self.now + span, Event::TargetArrival(id));
        }
        id
    }

    /// Cancels a try; the policy does not receive its outcome.
    pub fn cancel(&mut self, id: target::TryId) {
        self.tries[id.0].finished = true;
        let target = self.tries[id.0].target;
        let effects = self.targets[target].cancel(self.now, id);
        self.apply_effects(effects);
    }

    /// Answers a caller; only the first answer to each request counts.
    pub fn answer(&mut self, request: usize, answer: Answer) {
        let record = &mut self.records[request];
        if record.closed {
            return;
        }
        record.closed = true;
        record.answer = Some(answer);
        self.record_result(request, answer == Answer::Served);
    }

    /// Returns whether the caller has been answered or has given up.
    pub fn closed(&self, request: usize) -> bool {
        self.records[request].closed
    }

    /// Records that a daemon ejects a target or ends its ejection.
    pub fn set_ejected(&mut self, daemon: usize, target: usize, ejected: bool) {
        if !ejected {
            self.ejected.remove(&(daemon, target));
        } else if self.ejected.insert((daemon, target)) {
            self.record_ejection(target);
        }
        self.check_floor();
    }

    fn schedule_scenario(&mut self) {
        for at in 0..self.scenario.requests.len() {
            self.schedule(self.scenario.requests[at].at, Event::Arrival(at));
        }
        for target in 0..self.targets.len() {
            for window in self.scenario.target_faults[target].clone() {
                if let trace::Fault::Drain { lag_ms } = window.fault {
                    self.schedule(window.from + lag_ms, Event::TargetLeaves(target));
                }
                for at in window.transitions() {
                    self.schedule(at, Event::FaultTransition(target));
                }
            }
        }
    }

    fn schedule(&mut self, at: clock::Millis, event: Event<M>) {
        self.sequence += 1;
        self.queue.insert((at, self.sequence), event);
    }

    /// Applies one event and returns the input that follows from it for the policy, if any.
    fn apply_event(&mut self, event: Event<M>) -> Option<Input<M>> {
        if let Some(until) = self.delayed_until(&event) {
            self.schedule(until, event);
            return None;
        }
        match event {
            Event::Arrival(at) => {
                let timeout = self.scenario.requests[at].deadline + CALLER_GRACE;
                self.schedule(timeout, Event::CallerTimeout(at));
                return Some(Input::Request(at));
            }
            Event::CallerTimeout(at) => self.handle_caller_timeout(at),
            Event::TargetArrival(id) => self.start_try(id),
            Event::Finish(id) => {
                let target = self.tries[id.0].target;
                let effects = self.targets[target].finish(self.now, id);
                self.apply_effects(effects);
            }
            Event::FaultTransition(target) => {
                let effects = self.targets[target].handle_transition(self.now);
                self.apply_effects(effects);
            }
            Event::TargetLeaves(target) => {
                self.scenario.service.targets[target].leaving = true;
                self.check_floor();
                return Some(Input::Rules);
            }
            Event::TryEnded {
                id,
                outcome,
                statement,
            } => {
                let current = !std::mem::replace(&mut self.tries[id.0].finished, true);
                return current.then_some(Input::TryEnded {
                    id,
                    outcome,
                    statement,
                });
            }
            Event::Message { message, .. } => return Some(Input::Message(message)),
        }
        None
    }

    /// Returns the end of the pause if the event is for a paused daemon.
    fn delayed_until(&self, event: &Event<M>) -> Option<clock::Millis> {
        let daemon = match event {
            Event::Arrival(at) => self.scenario.requests[*at].entry,
            Event::TryEnded { id, .. } => self.tries[id.0].daemon,
            Event::Message { daemon, .. } => *daemon,
            _ => return None,
        };
        self.scenario.paused_until(daemon, self.now)
    }

    fn start_try(&mut self, id: target::TryId) {
        let request = self.tries[id.0].request;
        if self.tries[id.0].finished {
            return;
        }
        let job = target::Job {
            id,
            work: self.scenario.requests[request].work,
            crash: self.scenario.requests[request].crash,
            failure_draw: self.failure_rng.unit(),
        };
        let target = self.tries[id.0].target;
        let effects = self.targets[target].submit(self.now, job);
        self.apply_effects(effects);
    }

    fn apply_effects(&mut self, effects: Vec<target::Effect>) {
        for effect in effects {
            match effect {
                target::Effect::Started(id) => self.record_start(id),
                target::Effect::FinishAt(id, at) => self.schedule(at, Event::Finish(id)),
                target::Effect::Ended(id, outcome) => self.send_outcome(id, outcome),
            }
        }
    }

    /// Sends the outcome of a try to the daemon that sent the try.
    fn send_outcome(&mut self, id: target::TryId, outcome: cell::Outcome) {
        let Try { daemon, target, .. } = self.tries[id.0];
        if self.scenario.target_link_lost(daemon, true, self.now) {
            return;
        }
        let span = self.target_latency(daemon, target);
        let statement = peer::Statement {
            leaving: self.targets[target].is_draining(self.now),
            ..peer::Statement::default()
        };
        let ended = Event::TryEnded {
            id,
            outcome,
            statement,
        };
        self.schedule(self.now + span, ended);
    }

    fn target_latency(&self, daemon: usize, target: usize) -> clock::Millis {
        self.latency(daemon, &self.scenario.service.targets[target].domain)
    }

    fn latency(&self, daemon: usize, domain: &str) -> clock::Millis {
        if self.scenario.daemon_domains[daemon] == domain {
            LOCAL_HOP
        } else {
            self.scenario.hop
        }
    }

    fn handle_caller_timeout(&mut self, request: usize) {
        if !std::mem::replace(&mut self.records[request].closed, true) {
            self.record_result(request, false);
        }
    }

    /// Counts a request that has ended for its caller, and resends it if it was not served and resends are left.
    fn record_result(&mut self, at: usize, served: bool) {
        let request = self.scenario.requests[at];
        if !request.crash {
            let share = self.measured.tiers.entry(request.tier).or_default();
            share.all += 1;
            share.served += usize::from(served);
            let late = self.now > request.at + request.work + self.scenario.harm;
            self.measured.harmed += usize::from(!served || late);
            if let Some(stream) = request.stream {
                let share = self.measured.streams.entry(stream).or_default();
                share.all += 1;
                share.served += usize::from(served);
                let value = scarcity::value(self.now, request.objective, request.deadline);
                self.measured.worth += if served { value } else { 0.0 };
            }
            if !served {
                let cause = failure_cause(self.records[at].answer);
                *self
                    .measured
                    .causes
                    .entry((request.tier, cause))
                    .or_default() += 1;
            }
        }
        if !served && request.resends > 0 {
            self.resend(&request);
        }
    }

    fn resend(&mut self, request: &scenario::Request) {
        let now = self.now + scenario::RESEND_DELAY;
        let span = request.deadline - request.at;
        self.scenario.requests.push(scenario::Request {
            at: now,
            entry: self.resend_rng.below(self.scenario.names.len()),
            deadline: now + span,
            resends: request.resends - 1,
            ..*request
        });
        self.records.push(Record::default());
        self.schedule(now, Event::Arrival(self.records.len() - 1));
    }

    fn record_start(&mut self, id: target::TryId) {
        let at = self.tries[id.0].request;
        self.records[at].runs += 1;
        let request = self.scenario.requests[at];
        self.measured.crashes += usize::from(request.crash);
        let runs = match request.key {
            Some(key) => {
                let runs = self.key_runs.entry(key).or_default();
                *runs += 1;
                *runs
            }
            None => self.records[at].runs,
        };
        self.measured.ran_twice += usize::from(!request.idempotent && runs > 1);
    }

    fn record_dispatch(&mut self, target: usize, trial: bool) {
        if trial {
            self.measured.trials += 1;
            return;
        }
        let faulty = |s: &target::FaultWindow| s.from <= self.now && self.now < s.to;
        if self.scenario.gray_windows(target).any(faulty) {
            self.last_new[target] = Some(self.now);
        }
    }

    fn record_ejection(&mut self, target: usize) {
        let ejection_justified = self.scenario.ejection_justified(target, self.now)
            || self.targets[target].restarting_or_cold(self.now);
        if !ejection_justified {
            self.measured.false_ejections += self.ejection_weight;
        }
    }

    fn check_floor(&mut self) {
        let targets = &self.scenario.service.targets;
        let mut available = targets.iter().filter(|t| !t.leaving).count() as f64;
        let mut withheld = BTreeMap::<usize, f64>::new();
        for (daemon, target) in &self.ejected {
            // A paused daemon does not apply its ejections; they count again when the pause ends.
            let paused = self.scenario.paused_until(*daemon, self.now).is_some();
            if !paused && !targets[*target].leaving {
                *withheld.entry(*target).or_default() += self.ejection_weight;
            }
        }
        available -= withheld.values().map(|w| w.min(1.0)).sum::<f64>();
        const ROUNDING: f64 = 1e-6;
        let below_floor =
            !withheld.is_empty() && available + ROUNDING < self.scenario.service.floor as f64;
        self.measured.floor_breaches += usize::from(below_floor && !self.below_floor);
        self.below_floor = below_floor;
    }

    fn summarise(mut self) -> measures::Run {
        self.measured.requests = self.records.len();
        self.measured.retries = self.records.iter().map(|a| a.tries.saturating_sub(1)).sum();
        let not_run = |a: &&Record| matches!(a.answer, Some(Answer::Refused(r)) if r.outcome == refusal::Outcome::NotRun);
        self.measured.ran_though_refused = self
            .records
            .iter()
            .filter(not_run)
            .filter(|a| a.runs > 0)
            .count();
        for target in 0..self.targets.len() {
            self.summarise_target(target);
        }
        self.measured
    }

    fn summarise_target(&mut self, target: usize) {
        let from = self.scenario.gray_windows(target).map(|s| s.from).min();
        let to = self.scenario.gray_windows(target).map(|s| s.to).max();
        let (Some(from), Some(to)) = (from, to) else {
            self.measured.healthy += self.scenario.span;
            return;
        };
        let to = to.min(self.scenario.span);
        self.measured.healthy += self.scenario.span - (to - from);
        let last = self.last_new[target].unwrap_or(from);
        let tail = (to - from).scaled(NEVER_SHARE);
        self.measured.detections.push(if last + tail >= to {
            measures::Detection::Never
        } else {
            measures::Detection::After(last - from)
        });
    }
}

/// Returns the name of the cause for which a request was not served.
fn failure_cause(answer: Option<Answer>) -> &'static str {
    match answer {
        Some(Answer::Refused(refusal)) => refusal.cause.as_str(),
        Some(Answer::Failed) => "failed",
        Some(Answer::Served) | None => "no-answer",
    }
}
