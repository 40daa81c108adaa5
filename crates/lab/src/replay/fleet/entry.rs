//! The entry in the policy of the fleet: offers requests to homes as `peridotspread::daemon::entry` does.

use peridotspread::coordination::homes;
use peridotspread::protocol::peer;
use peridotspread::protocol::refusal;
use peridotspread::state::clock;

use crate::replay::fleet;
use crate::replay::fleet::{CellLocation, Exchange, ExchangeId, Fleet, Message, Simulation, table};
use crate::replay::sim;

/// The time without a message from a home after which the entry tries another one.
const HOME_TIMEOUT: clock::Millis = clock::Millis(800);

/// The maximum number of homes that one request is offered to.
const MAX_HOMES: usize = 4;

impl Fleet {
    pub(super) fn accept_request(&mut self, sim: &mut Simulation, request: usize) {
        let details = *sim.request(request);
        let left = details.deadline - sim.now();
        sim.schedule_message(left, details.entry, Message::EntryDeadline(request));
        let no_home = refusal::Refusal::not_run(refusal::Cause::NoHome, Some(fleet::RETRY_AFTER));
        self.offer_next(sim, request, no_home);
    }

    /// Offers a request to the next home; if none is left, the caller receives `refused`.
    fn offer_next(&mut self, sim: &mut Simulation, request: usize, refused: refusal::Refusal) {
        let now = sim.now();
        let details = *sim.request(request);
        let offered = self.request_exchanges.entry(request).or_default();
        let tried: Vec<_> = offered
            .iter()
            .map(|s| homes::FailedAttempt {
                choice: self.exchanges[*s].choice.clone(),
                refused: self.exchanges[*s].refused,
            })
            .collect();
        let scenario = sim.scenario();
        let selector = &mut self.selectors[details.entry];
        let choice = if tried.len() < MAX_HOMES {
            selector.select(now, &scenario.service, &scenario.view, &tried)
        } else {
            None
        };
        let Some(choice) = choice else {
            let refusal = refused.after_unknown_try(self.lost_cause(request));
            sim.answer(request, sim::Answer::Refused(refusal));
            return;
        };
        let cell = self.cell_ids.iter().position(|c| *c == choice.cell);
        let daemon = scenario.daemon(&choice.home);
        let (Some(cell), Some(daemon)) = (cell, daemon) else {
            return;
        };
        let peers = selector.summaries(now, &scenario.service);
        let exchange = self.exchanges.len();
        offered.push(exchange);
        self.exchanges.push(Exchange {
            request,
            choice,
            location: CellLocation { daemon, cell },
            awaited: true,
            last_contact: now,
            refused: false,
            silent: false,
            claim_pending: false,
            allowed: details.idempotent,
            granted: None,
            running: None,
            last_outcome: None,
            lost_cause: None,
            finished: false,
        });
        sim.send(details.entry, daemon, Message::Head { exchange, peers });
        sim.schedule_message(HOME_TIMEOUT, details.entry, Message::HomeTimeout(exchange));
    }

    pub(super) fn record_contact(&mut self, sim: &Simulation, exchange: ExchangeId) {
        self.exchanges[exchange].last_contact = sim.now();
    }

    /// Allows the dispatch of a non-idempotent request; if the request has a key, it is claimed first.
    pub(super) fn handle_ready(&mut self, sim: &mut Simulation, exchange: ExchangeId) {
        self.record_contact(sim, exchange);
        let request = self.exchanges[exchange].request;
        if !self.exchanges[exchange].awaited || sim.closed(request) {
            return;
        }
        let details = *sim.request(request);
        let Some(key) = details.key else {
            return self.allow_dispatch(sim, exchange);
        };
        let available = sim.scenario().table_up(sim.now());
        let claim = available.then(|| self.table.claim(key));
        let delay = if available {
            fleet::TABLE_LATENCY
        } else {
            fleet::TABLE_TIMEOUT
        };
        self.exchanges[exchange].claim_pending = true;
        sim.schedule_message(delay, details.entry, Message::Claimed { exchange, claim });
    }

    pub(super) fn handle_claim(
        &mut self,
        sim: &mut Simulation,
        exchange: ExchangeId,
        claim: Option<table::Claim>,
    ) {
        let request = self.exchanges[exchange].request;
        self.exchanges[exchange].claim_pending = false;
        self.record_contact(sim, exchange);
        let pending = self.exchanges[exchange].awaited && !sim.closed(request);
        let answer = match claim {
            Some(table::Claim::Fresh) if pending => return self.allow_dispatch(sim, exchange),
            Some(table::Claim::Fresh) => return self.record_claim(sim, request, false),
            Some(table::Claim::Ran) => sim::Answer::Served,
            Some(table::Claim::Unknown) => {
                sim::Answer::Refused(refusal::Refusal::unknown(refusal::Cause::AlreadyClaimed))
            }
            None => {
                let cause = refusal::Cause::ClaimUnavailable;
                let refusal = refusal::Refusal::not_run(cause, Some(fleet::RETRY_AFTER));
                sim::Answer::Refused(refusal)
            }
        };
        if pending {
            self.withdraw(sim, exchange);
            sim.answer(request, answer);
        }
    }

    fn record_claim(&mut self, sim: &Simulation, request: usize, ran: bool) {
        if let Some(key) = sim.request(request).key {
            self.table.record_outcome(key, ran);
        }
    }

    fn allow_dispatch(&mut self, sim: &mut Simulation, exchange: ExchangeId) {
        let state = &mut self.exchanges[exchange];
        state.allowed = true;
        let home = state.location.daemon;
        let entry = sim.request(state.request).entry;
        sim.send(entry, home, Message::AllowDispatch(exchange));
    }

    fn withdraw(&mut self, sim: &mut Simulation, exchange: ExchangeId) {
        let state = &mut self.exchanges[exchange];
        state.awaited = false;
        let home = state.location.daemon;
        let entry = sim.request(state.request).entry;
        sim.send(entry, home, Message::Cancel(exchange));
    }

    pub(super) fn handle_reply(
        &mut self,
        sim: &mut Simulation,
        exchange: ExchangeId,
        answer: sim::Answer,
        summary: &peer::CellSummary,
    ) {
        let now = sim.now();
        let state = &self.exchanges[exchange];
        let request = state.request;
        let selector = &mut self.selectors[sim.request(request).entry];
        selector.observe(now, &state.choice.home, homes::Observation::Answered);
        selector.record_summary(now, summary);
        if !state.awaited {
            return;
        }
        self.exchanges[exchange].awaited = false;
        match answer {
            sim::Answer::Refused(refusal) if refusal.outcome == refusal::Outcome::NotRun => {
                if self.exchanges[exchange].allowed {
                    self.record_claim(sim, request, false);
                }
                self.exchanges[exchange].refused = refusal.cause != refusal::Cause::Draining;
                if another_home_may_serve(refusal) {
                    return self.offer_next(sim, request, refusal);
                }
            }
            sim::Answer::Refused(_) => {}
            sim::Answer::Served | sim::Answer::Failed => self.record_claim(sim, request, true),
        }
        let answer = match answer {
            sim::Answer::Refused(r) => {
                sim::Answer::Refused(r.after_unknown_try(self.lost_cause(request)))
            }
            _ => answer,
        };
        sim.answer(request, answer);
    }

    /// Returns the reason why a request may have run at a home that fell silent, if there is one.
    fn lost_cause(&self, request: usize) -> Option<refusal::Cause> {
        let mut offered = self.request_exchanges.get(&request).into_iter().flatten();
        let silent = offered.any(|s| self.exchanges[*s].silent);
        silent.then_some(refusal::Cause::HomeLost)
    }

    /// Offers the request to another home if this one has been silent for [`HOME_TIMEOUT`]. A non-idempotent request is
    /// not offered again while its key is being claimed or after its dispatch was allowed, because it may have run.
    pub(super) fn check_home_timeout(&mut self, sim: &mut Simulation, exchange: ExchangeId) {
        let state = &self.exchanges[exchange];
        let request = state.request;
        let details = *sim.request(request);
        let committed = !details.idempotent && state.allowed || state.claim_pending;
        if !state.awaited || sim.closed(request) || committed {
            return;
        }
        let due = state.last_contact + HOME_TIMEOUT;
        if sim.now() < due {
            let left = due - sim.now();
            return sim.schedule_message(left, details.entry, Message::HomeTimeout(exchange));
        }
        let selector = &mut self.selectors[details.entry];
        selector.observe(sim.now(), &state.choice.home, homes::Observation::Stalled);
        self.exchanges[exchange].silent = self.exchanges[exchange].allowed;
        self.withdraw(sim, exchange);
        let no_home = refusal::Refusal::not_run(refusal::Cause::NoHome, Some(fleet::RETRY_AFTER));
        self.offer_next(sim, request, no_home);
    }

    pub(super) fn handle_entry_deadline(&mut self, sim: &mut Simulation, request: usize) {
        if sim.closed(request) {
            return;
        }
        let offered = self
            .request_exchanges
            .get(&request)
            .cloned()
            .unwrap_or_default();
        let allowed = offered.iter().any(|s| self.exchanges[*s].allowed);
        for exchange in offered {
            if self.exchanges[exchange].awaited {
                self.withdraw(sim, exchange);
            }
        }
        let refusal = if allowed {
            refusal::Refusal::unknown(refusal::Cause::TargetTimeout)
        } else {
            refusal::Refusal::not_run(refusal::Cause::DeadlinePassed, None)
        };
        sim.answer(request, sim::Answer::Refused(refusal));
    }
}

/// Returns whether another cell may still serve a request that was refused.
fn another_home_may_serve(refusal: refusal::Refusal) -> bool {
    let elsewhere = matches!(
        refusal.cause,
        refusal::Cause::NoTarget
            | refusal::Cause::NoHome
            | refusal::Cause::Draining
            | refusal::Cause::QueueFull
            | refusal::Cause::Displaced
            | refusal::Cause::DeadlineTooShort
            | refusal::Cause::ConnectFailed
    );
    elsewhere && refusal.outcome == refusal::Outcome::NotRun
}
