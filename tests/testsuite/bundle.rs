//! Differences between bundles, as edits of their text and entry by entry, and signatures of operators.

use peridotspread::state::bundle;
use peridotspread::state::bundle::diff;
use peridotspread::state::bundle::edits;
use peridotspread::state::operator;
use proptest::prelude::*;

use crate::support::bundles;

proptest! {
    #![proptest_config(bundles::proptest_config(400))]

    #[test]
    fn applying_the_edits_reproduces_the_new_text(
        old in prop::collection::vec("[a-d]\n", 0..40),
        new in prop::collection::vec("[a-e]\n?", 0..40),
    ) {
        let (old, new) = (old.concat(), new.concat());
        let edits = edits::between(&old, &new);
        prop_assert_eq!(edits::apply(&old, &edits).unwrap(), new);
        let longer = format!("{old}z\n");
        prop_assert_eq!(edits::apply(&longer, &edits), Err(edits::Error::OtherText));
    }
}

#[test]
fn one_added_target_among_many_routes_gives_short_edits() {
    let old = bundles::fees(6).routes(49_000).text();
    let new = bundles::fees(7).routes(49_000).version(2).text();
    let edits = edits::between(&old, &new);
    assert_eq!(edits::apply(&old, &edits).unwrap(), new);
    assert!(edits::size(&edits) < 400, "{edits:?}");
    assert!(new.len() > 2_000_000);
}

#[test]
fn bundles_are_compared_by_the_names_of_their_entries() {
    let old = bundles::fees(2).build();
    let mut new = bundles::fees(3).version(2).build();
    new.services[0].targets.remove(0);
    new.services[0].targets[0].slots = 5;
    new.routes[0].prefix = "/other".to_owned();
    let entries: Vec<_> = diff::between(&old, &new)
        .into_iter()
        .map(|d| (d.entry, d.kind))
        .collect();
    let expected = [
        ("route any host /fees-0", diff::Kind::Removed),
        ("route any host /other", diff::Kind::Added),
        ("service fees, target fees-0", diff::Kind::Removed),
        ("service fees, target fees-1", diff::Kind::Changed),
        ("service fees, target fees-2", diff::Kind::Added),
        ("version", diff::Kind::Changed),
    ];
    assert_eq!(entries, expected.map(|(e, k)| (e.to_owned(), k)));
    assert_eq!(diff::between(&old, &old), []);
}

#[test]
fn a_signature_is_valid_only_for_its_operator_version_and_digest() {
    let pair = operator::generate().unwrap();
    let other = operator::generate().unwrap();
    let key = operator::Key::from_pem("operator-1", &pair.private).unwrap();
    let mut operators = operator::Operators::default();
    operators.add_pem("operator-1", &pair.public).unwrap();
    operators.add_pem("operator-2", &other.public).unwrap();
    let digest = operator::digest("text");
    let signature = key.sign(3, &digest);
    assert!(
        operators
            .verify("operator-1", 3, &digest, &signature)
            .is_ok()
    );
    assert!(
        operators
            .verify("operator-2", 3, &digest, &signature)
            .is_err()
    );
    assert!(operators.verify("nobody", 3, &digest, &signature).is_err());
    assert!(
        operators
            .verify("operator-1", 4, &digest, &signature)
            .is_err()
    );
    let another = operator::digest("texts");
    assert!(
        operators
            .verify("operator-1", 3, &another, &signature)
            .is_err()
    );
    assert!(operators.verify("operator-1", 3, &digest, "00").is_err());
}

#[test]
fn a_changed_floor_is_a_difference_of_the_service() {
    let old = bundles::fees(4).floor(1).build();
    let new = bundles::fees(4).floor(2).build();
    let differences = diff::between(&old, &new);
    assert_eq!(differences.len(), 1);
    assert_eq!(differences[0].entry, "service fees");
    assert!(bundle::parse("b.toml", &bundles::fees(4).floor(5).text()).is_err());
}
