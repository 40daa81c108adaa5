//! The demonstration: a fleet of the size of Bagh-e-Sabaq's, under load, that goes through a series of faults.
//!
//! It prints each step, and ends with counters that come from the stand-ins and the load generator, not from the
//! daemons.

use std::time;

use peridotspread::state::clock;
use serde::Serialize;

use crate::fleet::{self, sizes};
use crate::load;
use crate::target;
use crate::trial;
use crate::watch;

/// The configuration of the demonstration.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The number of daemons.
    pub daemons: usize,
    /// The number of failure domains.
    pub domains: usize,
    /// The mean rate of requests per second.
    pub rate: f64,
    /// The seed of load and service times.
    pub seed: u64,
    /// Whether to print each step.
    pub verbose: bool,
}

impl Default for Options {
    fn default() -> Options {
        Options {
            daemons: 12,
            domains: 4,
            rate: 400.0,
            seed: 1,
            verbose: true,
        }
    }
}

/// The counters at the end.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// Requests that callers sent.
    pub sent: u64,
    /// Requests that were answered completely.
    pub served: u64,
    /// Requests refused as not run in all of their attempts.
    pub not_run: u64,
    /// Requests that failed and may have run.
    pub unknown: u64,
    /// Responses to another request, altered ones, and recorded outcomes of requests that never ran.
    #[serde(rename = "wrong_answers")]
    pub wrong: u64,
    /// Truncated responses that ended as if they were complete.
    #[serde(rename = "truncated_unseen")]
    pub short: u64,
    /// Non-idempotent requests that ran more than once.
    #[serde(rename = "ran_twice")]
    pub twice: u64,
    /// Attempts that were refused as not run although they ran.
    #[serde(rename = "ran_though_refused")]
    pub refused: u64,
    /// Observations of a service with fewer targets left than its floor.
    #[serde(rename = "floor_breaches")]
    pub breaches: u64,
    /// Attempts that the drained daemon left without a response.
    #[serde(rename = "cut_in_drain")]
    pub cut: u64,
    /// How long the gray target kept receiving regular traffic, in milliseconds.
    pub detection_ms: u64,
    /// Targets that were ejected although no fault was injected into them.
    #[serde(rename = "false_ejections")]
    pub mistaken: u64,
    /// The time from the accepted rollout until the bundle was in force at all daemons, in milliseconds.
    pub rollout_ms: u64,
}

impl Outcome {
    /// Returns whether all counters that must be zero are zero.
    pub fn has_no_violations(&self) -> bool {
        let violations =
            self.wrong + self.short + self.twice + self.refused + self.breaches + self.cut;
        violations == 0
    }
}

/// How long the fleet serves without faults, before and after the series.
const NORMAL_SPAN: time::Duration = time::Duration::from_secs(2);
/// The duration of the gray failure of a target.
const GRAY_SPAN: time::Duration = time::Duration::from_secs(7);
/// How long a daemon stays killed or frozen before it resumes.
const DAEMON_DOWNTIME: time::Duration = time::Duration::from_secs(4);
/// The duration of the platform's outage.
const PLATFORM_OUTAGE: time::Duration = time::Duration::from_secs(5);
/// How long the load balancer keeps sending requests to a daemon that shuts down.
const BALANCER_LAG: time::Duration = time::Duration::from_millis(1_500);

/// The target with the gray failure.
const GRAY_TARGET: &str = "seats-3";
/// The target that a rollout marks as leaving.
const LEAVING_TARGET: &str = "timetable-2";
/// The daemon that is killed and restarted.
const KILLED_DAEMON: &str = "d004";
/// The daemon that is frozen and resumed.
const FROZEN_DAEMON: &str = "d007";
/// The daemon that is shut down gracefully.
const DRAINED_DAEMON: &str = "d002";

/// Runs the demonstration.
///
/// # Errors
///
/// Returns an error if the fleet fails to start or a step fails.
pub async fn run(options: &Options) -> Result<Outcome, fleet::Error> {
    let mut demo = Demo::start(options).await?;
    demo.serve_normally().await;
    demo.inject_stall().await?;
    demo.kill_daemon().await?;
    demo.freeze_daemon().await?;
    demo.roll_out().await?;
    demo.platform_outage().await?;
    demo.drain_daemon().await?;
    demo.serve_normally().await;
    Ok(demo.finish().await)
}

/// A demonstration in progress.
struct Demo {
    trial: trial::Trial,
    outcome: Outcome,
    verbose: bool,
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
            verbose: options.verbose,
        };
        demo.print_step(&format!(
            "{} daemons in {} failure domains, 40 targets of 4 services and the platform's stand-in started within \
             {:.1} s; {} requests per second in three tiers",
            options.daemons,
            options.domains,
            begin.elapsed().as_secs_f64(),
            options.rate
        ));
        Ok(demo)
    }

    /// Prints a line with the time if enabled.
    fn print_step(&self, text: &str) {
        if self.verbose {
            println!(
                "[{:6.2} s] {text}",
                self.trial.fleet.clock.now().0 as f64 / 1e3
            );
        }
    }

    /// Prints the results of callers since the totals `old`.
    fn print_totals(&self, old: &load::Group) {
        let now = self.totals();
        self.print_step(&format!(
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

    async fn serve_normally(&self) {
        tokio::time::sleep(NORMAL_SPAN).await;
    }

    async fn inject_stall(&mut self) -> Result<(), fleet::Error> {
        let before = self.totals();
        self.print_step(&format!(
            "target {GRAY_TARGET} starts a gray failure: it answers health probes, but requests stall"
        ));
        let from = self.trial.set_fault(GRAY_TARGET, &target::Fault::Stall)?;
        tokio::time::sleep(GRAY_SPAN).await;
        let to = self.trial.set_fault(GRAY_TARGET, &target::Fault::None)?;
        let starts = self
            .trial
            .fleet
            .targets
            .tally()
            .snapshot()
            .starts(GRAY_TARGET);
        self.outcome.detection_ms = watch::detection_time(&starts, from, to).0;
        let second = clock::Millis(1_000);
        let in_span = |a, b| starts.iter().filter(|s| **s >= a && **s < b).count();
        self.print_step(&format!(
            "target {GRAY_TARGET} is healthy again; it kept receiving traffic for {} ms: {} requests in the second before, \
             {} while gray",
            self.outcome.detection_ms,
            in_span(from - second, from),
            in_span(from, to)
        ));
        self.print_totals(&before);
        Ok(())
    }

    async fn kill_daemon(&mut self) -> Result<(), fleet::Error> {
        let before = self.totals();
        self.print_step(&format!("daemon {KILLED_DAEMON} is killed"));
        self.trial.fleet.kill(KILLED_DAEMON).await?;
        tokio::time::sleep(DAEMON_DOWNTIME).await;
        self.print_step(&format!(
            "daemon {KILLED_DAEMON} is restarted without any state"
        ));
        self.trial.fleet.start(KILLED_DAEMON)?;
        let timings = self.trial.fleet.wait_until_settled().await?;
        self.print_step(&format!(
            "daemon {KILLED_DAEMON} serves after {} ms",
            timings.last().as_millis()
        ));
        self.print_totals(&before);
        Ok(())
    }

    async fn freeze_daemon(&mut self) -> Result<(), fleet::Error> {
        let before = self.totals();
        self.print_step(&format!("daemon {FROZEN_DAEMON} is frozen"));
        self.trial.fleet.freeze(FROZEN_DAEMON)?;
        tokio::time::sleep(DAEMON_DOWNTIME).await;
        self.trial.fleet.resume(FROZEN_DAEMON)?;
        self.print_step(&format!("daemon {FROZEN_DAEMON} resumes"));
        self.trial.fleet.wait_until_settled().await?;
        self.print_totals(&before);
        Ok(())
    }

    async fn roll_out(&mut self) -> Result<(), fleet::Error> {
        let before = self.totals();
        self.print_step(&format!(
            "a bundle is rolled out that marks target {LEAVING_TARGET} as leaving"
        ));
        let start = time::Instant::now();
        let version = self.trial.leave(LEAVING_TARGET).await?;
        let accepted = start.elapsed();
        let timings = self.trial.fleet.wait_until_in_force(version).await?;
        self.outcome.rollout_ms = clock::Millis::from(timings.last()).0;
        self.print_step(&format!(
            "bundle {} was accepted within {} ms and in force everywhere {} ms later",
            version,
            accepted.as_millis(),
            self.outcome.rollout_ms
        ));
        self.print_totals(&before);
        Ok(())
    }

    async fn platform_outage(&mut self) -> Result<(), fleet::Error> {
        let before = self.totals();
        self.print_step(
            "the platform fails: table, object store and list of hosts are unavailable",
        );
        self.trial.fleet.platform.set(|o| o.down = true);
        tokio::time::sleep(PLATFORM_OUTAGE).await;
        self.trial.fleet.platform.set(|o| o.down = false);
        self.print_step("the platform is available again");
        self.print_totals(&before);
        Ok(())
    }

    async fn drain_daemon(&mut self) -> Result<(), fleet::Error> {
        let before = self.totals();
        self.print_step(&format!(
            "daemon {DRAINED_DAEMON} shuts down gracefully; the load balancer keeps sending to it for {} ms",
            BALANCER_LAG.as_millis()
        ));
        self.trial.drain(DRAINED_DAEMON)?;
        tokio::time::sleep(BALANCER_LAG).await;
        self.trial.entries.set_listed(DRAINED_DAEMON, false);
        let status = self.trial.fleet.wait_for_exit(DRAINED_DAEMON).await?;
        self.print_step(&format!("daemon {DRAINED_DAEMON} exited with {status}"));
        self.print_totals(&before);
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
            breaches: counts.observed.breaches,
            cut: counts.unanswered,
            mistaken: counts.false_ejections.len() as u64,
            ..self.outcome
        }
    }
}

/// Returns the load: parents browse, coordinators post fees and confirm enrolments.
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
