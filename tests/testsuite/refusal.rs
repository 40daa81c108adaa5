//! Refusals state whether the request may have run.

use peridotspread::protocol::refusal;

#[test]
fn a_lost_try_makes_the_outcome_of_a_refused_request_unknown() {
    let not_run = refusal::Refusal::not_run(refusal::Cause::QueueFull, None);
    let lost = Some(refusal::Cause::HomeLost);
    let unknown = refusal::Refusal::unknown(refusal::Cause::HomeLost);
    assert_eq!(not_run.after_unknown_try(lost), unknown);
    assert_eq!(not_run.after_unknown_try(None), not_run);
    let timeout = refusal::Refusal::unknown(refusal::Cause::TargetTimeout);
    assert_eq!(timeout.after_unknown_try(lost), timeout);
}
