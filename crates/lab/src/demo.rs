//! The demonstration: a fleet at the size of Bagh-e-Sabaq, under load, through one fault after the other.
//!
//! It tells what happens as it happens, and ends with counts that come from the stand-ins and the load generator, not
//! from the daemons.

use std::time;

use peridotspread::state::clock;
use serde::Serialize;

use crate::fleet::{self, sizes};
use crate::load;
use crate::target;
use crate::trial;
use crate::watch;

/// What is demonstrated.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of failure domains.
    pub domains: usize,
    /// Requests a second.
    pub rate: f64,
    /// The seed of load and service times.
    pub seed: u64,
    /// Whether to tell what happens.
    pub tell: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            daemons: 12,
            domains: 4,
            rate: 400.0,
            seed: 1,
            tell: true,
        }
    }
}

/// What was counted.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Requests that callers sent.
    pub sent: u64,
    /// Requests that were served.
    pub served: u64,
    /// Requests that were refused as not run, with all their resends.
    pub not_run: u64,
    /// Requests whose callers can't know whether they ran.
    pub unknown: u64,
    /// Answers to another request, or altered.
    #[serde(rename = "wrong_answers")]
    pub wrong: u64,
    /// Answers that ended as if whole, but were not.
    #[serde(rename = "truncated_unseen")]
    pub short: u64,
    /// Keyed requests that ran more than once.
    #[serde(rename = "ran_twice")]
    pub twice: u64,
    /// Requests that were refused as not run, and yet ran.
    #[serde(rename = "ran_though_refused")]
    pub refused: u64,
    /// Looks at which a service had fewer targets left than its floor.
    #[serde(rename = "floor_breaches")]
    pub breaches: u64,
    /// Requests without an answer at the daemon that was drained.
    #[serde(rename = "cut_in_drain")]
    pub cut: u64,
    /// How long the gray target kept receiving traffic, in milliseconds.
    pub detection_ms: u64,
    /// Healthy targets that were ejected.
    #[serde(rename = "false_ejections")]
    pub mistaken: u64,
    /// From the accepted rollout until the bundle was in force everywhere, in milliseconds.
    pub rollout_ms: u64,
}

impl Outcome {
    /// Returns whether all that must be zero is.
    pub fn keeps_promises(&self) -> bool {
        let broken = self.wrong + self.short + self.twice + self.refused + self.breaches + self.cut;
        broken == 0
    }
}

/// How long the fleet serves before and after the faults.
const CALM: time::Duration = time::Duration::from_secs(2);
/// How long a target stays gray.
const GRAY: time::Duration = time::Duration::from_secs(7);
/// How long a daemon stays killed or frozen.
const AWAY: time::Duration = time::Duration::from_secs(4);
/// How long the platform stays away.
const OUTAGE: time::Duration = time::Duration::from_secs(5);
/// How long the balancer still sends callers to a daemon that leaves.
const STALE: time::Duration = time::Duration::from_millis(1_500);

/// The target that turns gray.
const SICK: &str = "seats-3";
/// The target that operators tell to leave.
const LEAVER: &str = "timetable-2";
const KILLED: &str = "d004";
const FROZEN: &str = "d007";
const DRAINED: &str = "d002";

/// Runs the demonstration.
///
/// # Errors
///
/// Returns an error if the fleet can't be built or led.
pub async fn run(options: &Options) -> Result<Outcome, fleet::Error> {
    let mut demo = Demo::start(options).await?;
    demo.calm().await;
    demo.gray().await?;
    demo.kill().await?;
    demo.freeze().await?;
    demo.roll_out().await?;
    demo.outage().await?;
    demo.drain().await?;
    demo.calm().await;
    Ok(demo.finish().await)
}

struct Demo {
    trial: trial::Trial,
    outcome: Outcome,
    tell: bool,
}

impl Demo {
    async fn start(options: &Options) -> Result<Demo, fleet::Error> {
        let begin = time::Instant::now();
        let fleet = fleet::builder("demo")
            .daemons(options.daemons)
            .domains(options.domains)
            .services(&sizes::bagh())
            .seed(options.seed)
            .build()
            .await?;
        let demo = Demo {
            trial: trial::Trial::start(fleet, &plan(options)),
            outcome: Outcome::default(),
            tell: options.tell,
        };
        demo.say(&format!(
            "{} daemons in {} failure domains, 40 targets of 4 services and the platform's stand-in stand after {:.1} s; \
             {} requests a second in three tiers",
            options.daemons,
            options.domains,
            begin.elapsed().as_secs_f64(),
            options.rate
        ));
        Ok(demo)
    }

    fn say(&self, text: &str) {
        if self.tell {
            println!(
                "[{:6.2} s] {text}",
                self.trial.fleet.clock.now().0 as f64 / 1e3
            );
        }
    }

    /// Tells what callers were told since `before`.
    fn tally(&self, old: &load::Group) {
        let now = self.totals();
        self.say(&format!(
            "    callers: {} sent, {} served, {} not run, {} unknown",
            now.sent - old.sent,
            now.served - old.served,
            now.not_run - old.not_run,
            now.unknown - old.unknown
        ));
    }

    fn totals(&self) -> load::Group {
        self.trial.read(|r| r.total.clone())
    }

    async fn calm(&self) {
        tokio::time::sleep(CALM).await;
    }

    async fn gray(&mut self) -> Result<(), fleet::Error> {
        let before = self.totals();
        self.say(&format!(
            "target {SICK} goes gray: it answers probes, and requests stall"
        ));
        let from = self.trial.set_fault(SICK, &target::Fault::Stall)?;
        tokio::time::sleep(GRAY).await;
        let to = self.trial.set_fault(SICK, &target::Fault::None)?;
        let starts = self.trial.fleet.targets.tally().snapshot().starts(SICK);
        self.outcome.detection_ms = watch::detection(&starts, from, to).0;
        let before_s = clock::Millis(1_000);
        let in_span = |a, b| starts.iter().filter(|s| **s >= a && **s < b).count();
        self.say(&format!(
            "target {SICK} is well again; it kept receiving traffic for {} ms: {} requests in the second before, {} while gray",
            self.outcome.detection_ms,
            in_span(from - before_s, from),
            in_span(from, to)
        ));
        self.tally(&before);
        Ok(())
    }

    async fn kill(&mut self) -> Result<(), fleet::Error> {
        let before = self.totals();
        self.say(&format!("daemon {KILLED} is killed"));
        self.trial.fleet.kill(KILLED).await?;
        tokio::time::sleep(AWAY).await;
        self.say(&format!(
            "daemon {KILLED} is started again, with nothing kept"
        ));
        self.trial.fleet.start(KILLED)?;
        let back = self.trial.fleet.wait_until_settled().await?;
        self.say(&format!(
            "daemon {KILLED} serves after {} ms",
            back.last().as_millis()
        ));
        self.tally(&before);
        Ok(())
    }

    async fn freeze(&mut self) -> Result<(), fleet::Error> {
        let before = self.totals();
        self.say(&format!("daemon {FROZEN} is frozen where it stands"));
        self.trial.fleet.freeze(FROZEN)?;
        tokio::time::sleep(AWAY).await;
        self.trial.fleet.resume(FROZEN)?;
        self.say(&format!("daemon {FROZEN} wakes"));
        self.trial.fleet.wait_until_settled().await?;
        self.tally(&before);
        Ok(())
    }

    async fn roll_out(&mut self) -> Result<(), fleet::Error> {
        let before = self.totals();
        self.say(&format!("a bundle is rolled out: target {LEAVER} leaves"));
        let start = time::Instant::now();
        let version = self.trial.leave(LEAVER).await?;
        let accepted = start.elapsed();
        let spread = self.trial.fleet.wait_until_in_force(version).await?;
        self.outcome.rollout_ms = clock::Millis::from(spread.last()).0;
        self.say(&format!(
            "bundle {} was accepted within {} ms and in force everywhere {} ms later",
            version,
            accepted.as_millis(),
            self.outcome.rollout_ms
        ));
        self.tally(&before);
        Ok(())
    }

    async fn outage(&mut self) -> Result<(), fleet::Error> {
        let before = self.totals();
        self.say("the platform is away: table, object store and list of hosts");
        self.trial.fleet.platform.set(|o| o.down = true);
        tokio::time::sleep(OUTAGE).await;
        self.trial.fleet.platform.set(|o| o.down = false);
        self.say("the platform is back");
        self.tally(&before);
        Ok(())
    }

    async fn drain(&mut self) -> Result<(), fleet::Error> {
        let before = self.totals();
        self.say(&format!(
            "daemon {DRAINED} shuts down gracefully; the balancer still sends to it for {} ms",
            STALE.as_millis()
        ));
        self.trial.drain(DRAINED)?;
        tokio::time::sleep(STALE).await;
        self.trial.entries.set_listed(DRAINED, false);
        let status = self.trial.fleet.wait_for_exit(DRAINED).await?;
        self.say(&format!("daemon {DRAINED} ended with {status}"));
        self.tally(&before);
        Ok(())
    }

    async fn finish(self) -> Outcome {
        let (counts, _fleet) = self.trial.finish().await;
        let total = &counts.report.total;
        Outcome {
            sent: total.sent,
            served: total.served,
            not_run: total.not_run,
            unknown: total.unknown,
            wrong: counts.verdict.wrong,
            short: counts.verdict.short,
            twice: counts.verdict.twice,
            refused: counts.verdict.refused,
            breaches: counts.seen.breaches,
            cut: counts.cut,
            mistaken: counts.mistaken.len() as u64,
            ..self.outcome
        }
    }
}

/// The load: parents browse, coordinators post fees and confirm enrolments.
fn plan(options: &Options) -> load::Plan {
    const RESENDS: u32 = 4;
    load::Plan {
        seed: options.seed,
        rate: options.rate,
        kinds: vec![
            load::Kind::get("timetable", "/timetable/week", 4.0),
            load::Kind::get("seats", "/seats/list", 3.0),
            load::Kind::post("fees", "/fees/payments", 2.0),
            load::Kind::post("enrolment", "/enrolment/confirmations", 1.0),
        ],
        callers: callers(),
        deadline: clock::Millis(2_000),
        resends: RESENDS,
        proto: load::Proto::Http1,
        name: "demo".to_owned(),
    }
}

/// Returns the groups of callers of the fleet's three tiers.
pub fn callers() -> Vec<load::Caller> {
    let weights = [1.0, 2.0, 2.0];
    let groups = fleet::TIERS.iter().zip(weights);
    groups
        .map(|(tier, weight)| load::Caller {
            tier: (*tier).to_owned(),
            token: fleet::token(tier),
            weight,
        })
        .collect()
}
