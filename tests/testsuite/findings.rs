//! Findings name their places and come together.

use peridotspread::state::findings;

#[test]
fn a_finding_names_its_line() {
    let mut found = findings::Findings::default();
    found.add_at("a.toml", "one\ntwo\nthree\n", 5, "is wrong");
    found.add("a.toml", "is empty");
    let report = found.into_result(()).unwrap_err().to_string();
    assert!(
        report.starts_with("a.toml: is empty\na.toml:2: is wrong\n2 found"),
        "{report}"
    );
}
