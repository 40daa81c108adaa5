//! Findings are reported together, sorted by location.

use peridotspread::state::findings;

#[test]
fn findings_are_sorted_and_name_their_lines() {
    let mut found = findings::Findings::default();
    found.add_at("a.toml", "one\ntwo\nthree\n", 5, "is wrong");
    found.add("a.toml", "is empty");
    let report = found.into_result(()).unwrap_err().to_string();
    assert!(
        report.starts_with("a.toml: is empty\na.toml:2: is wrong\n2 found"),
        "{report}"
    );
}
