//! The entry's part of the fleet's policy: offers requests to homes as `peridotspread::daemon::entry` does.

use peridotspread::coordination::homes;
use peridotspread::protocol::peer;
use peridotspread::protocol::refusal;
use peridotspread::state::clock;

use crate::replay::fleet;
use crate::replay::fleet::{Fleet, Message, Place, SendId, Sending, World, table};
use crate::replay::world;

/// How long a home may be silent about a request that it has not finished.
const HOME_PATIENCE: clock::Millis = clock::Millis(800);

/// The homes that one request is offered to at most.
const MAX_HOMES: usize = 4;

impl Fleet {
    pub(super) fn take(&mut self, world: &mut World, request: usize) {
        let wanted = *world.request(request);
        let left = wanted.deadline - world.now();
        world.after(left, wanted.entry, Message::Expired(request));
        let none = refusal::Refusal::not_run(refusal::Cause::NoHome, Some(fleet::RETRY_SOON));
        self.offer(world, request, none);
    }

    /// Offers a request to the next home; where there is none, the caller gets `refused`.
    fn offer(&mut self, world: &mut World, request: usize, refused: refusal::Refusal) {
        let now = world.now();
        let wanted = *world.request(request);
        let offers = self.offers.entry(request).or_default();
        let tried: Vec<_> = offers
            .iter()
            .map(|s| homes::FailedAttempt {
                choice: self.sends[*s].choice.clone(),
                refused: self.sends[*s].refused,
            })
            .collect();
        let scene = world.scene();
        let judge = &mut self.judges[wanted.entry];
        let choice = if tried.len() < MAX_HOMES {
            judge.select(now, &scene.service, &scene.view, &tried)
        } else {
            None
        };
        let Some(choice) = choice else {
            let refusal = refused.after_lost_try(self.lost(request));
            world.answer(request, world::Answer::Refused(refusal));
            return;
        };
        let cell = self.ids.iter().position(|c| *c == choice.cell);
        let daemon = scene.daemon(&choice.home);
        let (Some(cell), Some(daemon)) = (cell, daemon) else {
            return;
        };
        let peers = judge.summaries(now, &scene.service);
        let send = self.sends.len();
        offers.push(send);
        self.sends.push(Sending {
            request,
            choice,
            place: Place { daemon, cell },
            current: true,
            heard: now,
            refused: false,
            silent: false,
            claiming: false,
            gone: wanted.idempotent,
            granted: None,
            running: None,
            last: None,
            lost: None,
            over: false,
        });
        world.send(wanted.entry, daemon, Message::Head { send, peers });
        world.after(HOME_PATIENCE, wanted.entry, Message::Patience(send));
    }

    pub(super) fn heard(&mut self, world: &World, send: SendId) {
        self.sends[send].heard = world.now();
    }

    /// Allows the dispatch of non-idempotent work, once its key is claimed.
    pub(super) fn ready(&mut self, world: &mut World, send: SendId) {
        self.heard(world, send);
        let request = self.sends[send].request;
        if !self.sends[send].current || world.closed(request) {
            return;
        }
        let wanted = *world.request(request);
        let Some(key) = wanted.key else {
            return self.allow(world, send);
        };
        let up = world.scene().table_up(world.now());
        let claim = up.then(|| self.table.claim(key));
        let span = if up {
            fleet::TABLE_LATENCY
        } else {
            fleet::TABLE_TIMEOUT
        };
        self.sends[send].claiming = true;
        world.after(span, wanted.entry, Message::Claimed { send, claim });
    }

    pub(super) fn claimed(&mut self, world: &mut World, send: SendId, claim: Option<table::Claim>) {
        let request = self.sends[send].request;
        self.sends[send].claiming = false;
        self.heard(world, send);
        let open = self.sends[send].current && !world.closed(request);
        let answer = match claim {
            Some(table::Claim::Fresh) if open => return self.allow(world, send),
            Some(table::Claim::Fresh) => return self.settle(world, request, false),
            Some(table::Claim::Ran) => world::Answer::Served,
            Some(table::Claim::Unknown) => {
                world::Answer::Refused(refusal::Refusal::unknown(refusal::Cause::AlreadyClaimed))
            }
            None => {
                let cause = refusal::Cause::ClaimUnavailable;
                let refusal = refusal::Refusal::not_run(cause, Some(fleet::RETRY_SOON));
                world::Answer::Refused(refusal)
            }
        };
        if open {
            self.withdraw(world, send);
            world.answer(request, answer);
        }
    }

    fn settle(&mut self, world: &World, request: usize, ran: bool) {
        if let Some(key) = world.request(request).key {
            self.table.settle(key, ran);
        }
    }

    fn allow(&mut self, world: &mut World, send: SendId) {
        let sending = &mut self.sends[send];
        sending.gone = true;
        let home = sending.place.daemon;
        let entry = world.request(sending.request).entry;
        world.send(entry, home, Message::Go(send));
    }

    fn withdraw(&mut self, world: &mut World, send: SendId) {
        let sending = &mut self.sends[send];
        sending.current = false;
        let home = sending.place.daemon;
        let entry = world.request(sending.request).entry;
        world.send(entry, home, Message::Dropped(send));
    }

    pub(super) fn reply(
        &mut self,
        world: &mut World,
        send: SendId,
        answer: world::Answer,
        summary: &peer::CellSummary,
    ) {
        let now = world.now();
        let sending = &self.sends[send];
        let request = sending.request;
        let judge = &mut self.judges[world.request(request).entry];
        judge.observe(now, &sending.choice.home, homes::Observation::Answered);
        judge.record_summary(now, summary);
        if !sending.current {
            return;
        }
        self.sends[send].current = false;
        match answer {
            world::Answer::Refused(refusal) if refusal.outcome == refusal::Outcome::NotRun => {
                if self.sends[send].gone {
                    self.settle(world, request, false);
                }
                self.sends[send].refused = refusal.cause != refusal::Cause::Draining;
                if another_home_may_serve(refusal) {
                    return self.offer(world, request, refusal);
                }
            }
            world::Answer::Refused(_) => {}
            world::Answer::Served | world::Answer::Failed => self.settle(world, request, true),
        }
        let answer = match answer {
            world::Answer::Refused(r) => {
                world::Answer::Refused(r.after_lost_try(self.lost(request)))
            }
            _ => answer,
        };
        world.answer(request, answer);
    }

    /// Returns why it is not proven that a request did not run at a home that fell silent.
    fn lost(&self, request: usize) -> Option<refusal::Cause> {
        let mut offers = self.offers.get(&request).into_iter().flatten();
        let silent = offers.any(|s| self.sends[*s].silent);
        silent.then_some(refusal::Cause::HomeLost)
    }

    /// Turns to another home if this one is silent; work in two steps is not offered again once it was allowed.
    pub(super) fn lose_patience(&mut self, world: &mut World, send: SendId) {
        let sending = &self.sends[send];
        let request = sending.request;
        let wanted = *world.request(request);
        let bound = !wanted.idempotent && sending.gone || sending.claiming;
        if !sending.current || world.closed(request) || bound {
            return;
        }
        let due = sending.heard + HOME_PATIENCE;
        if world.now() < due {
            let left = due - world.now();
            return world.after(left, wanted.entry, Message::Patience(send));
        }
        let judge = &mut self.judges[wanted.entry];
        judge.observe(
            world.now(),
            &sending.choice.home,
            homes::Observation::Stalled,
        );
        self.sends[send].silent = self.sends[send].gone;
        self.withdraw(world, send);
        let none = refusal::Refusal::not_run(refusal::Cause::NoHome, Some(fleet::RETRY_SOON));
        self.offer(world, request, none);
    }

    pub(super) fn expire(&mut self, world: &mut World, request: usize) {
        if world.closed(request) {
            return;
        }
        let offers = self.offers.get(&request).cloned().unwrap_or_default();
        let gone = offers.iter().any(|s| self.sends[*s].gone);
        for send in offers {
            if self.sends[send].current {
                self.withdraw(world, send);
            }
        }
        let refusal = if gone {
            refusal::Refusal::unknown(refusal::Cause::TargetTimeout)
        } else {
            refusal::Refusal::not_run(refusal::Cause::DeadlinePassed, None)
        };
        world.answer(request, world::Answer::Refused(refusal));
    }
}

/// Returns whether a refusal leaves it open that another cell serves the request.
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
