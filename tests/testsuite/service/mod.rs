//! A whole service, with the entries and homes of a fleet, checked by the text of the platform's rules.

mod budget;
mod floor;
mod limit;
mod statements;
mod world;

/// The share of a cell's targets that the platform's adapter asks for, in percent.
const BREADTH_PCT: f64 = 100.0;
/// The platform's `retry_budget_slack`.
const BUDGET_SLACK: f64 = 164.0;
