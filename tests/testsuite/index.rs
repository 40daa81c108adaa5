//! The selection of a route by the host and path of a request.

use peridotspread::state::{bundle, index};

const HOST: &str = "hulo.example";

/// Returns the service that requests for `path` are routed to among routes with the given prefixes, each of which leads
/// to a service of the same name.
fn service_for(prefixes: &[&str], path: &str) -> Option<String> {
    let routes = prefixes.iter().map(|prefix| bundle::Route {
        host: Some(HOST.to_owned()),
        prefix: (*prefix).to_owned(),
        service: (*prefix).to_owned(),
        ..bundle::Route::default()
    });
    let bundle = bundle::Bundle {
        routes: routes.collect(),
        ..bundle::Bundle::default()
    };
    let index = index::Index::new(&bundle);
    let route = index.route(&bundle, HOST, path)?;
    Some(route.service.clone())
}

/// Guards against a request being run by the service of a route whose prefix does not begin the path: `/clubs/fees` was
/// routed by `/clubs/fees/`.
#[test]
fn a_prefix_with_a_slash_at_the_end_matches_only_paths_that_begin_with_it() {
    let prefixes = ["/clubs/", "/clubs/fees/", "/clubs/fees/due/"];
    let cases = [
        ("/clubs/fees", Some("/clubs/")),
        ("/clubs/fees/", Some("/clubs/fees/")),
        ("/clubs/fees/7", Some("/clubs/fees/")),
        ("/clubs/fees/due", Some("/clubs/fees/")),
        ("/clubs/fees/due/", Some("/clubs/fees/due/")),
        ("/clubs/fees//", Some("/clubs/fees/")),
        ("/clubs/fees//due/", Some("/clubs/fees/")),
        ("/clubs//fees/7", Some("/clubs/")),
        ("/clubs/feesold/7", Some("/clubs/")),
        ("/clubs/fees%2F7", Some("/clubs/")),
        ("/clubs/fees%2Fdue/7", Some("/clubs/")),
        ("/clubs/Fees/7", Some("/clubs/")),
        ("/clubs/./fees/7", Some("/clubs/")),
        ("/clubs/fees/../seats/7", Some("/clubs/fees/")),
        ("/clubs/", Some("/clubs/")),
        ("/clubs", None),
        ("/CLUBS/fees/7", None),
        ("//clubs/fees/7", None),
        ("/", None),
        ("*", None),
        ("", None),
    ];
    for (path, expected) in cases {
        assert_eq!(service_for(&prefixes, path).as_deref(), expected, "{path}");
    }
}

#[test]
fn the_root_prefix_matches_every_path_that_no_longer_prefix_matches() {
    let prefixes = ["/", "/clubs/"];
    let cases = [
        ("/", Some("/")),
        ("//", Some("/")),
        ("/clubs", Some("/")),
        ("//clubs/", Some("/")),
        ("/clubs/", Some("/clubs/")),
        ("/clubs//", Some("/clubs/")),
        ("*", None),
    ];
    for (path, expected) in cases {
        assert_eq!(service_for(&prefixes, path).as_deref(), expected, "{path}");
    }
}

#[test]
fn a_prefix_without_a_slash_at_the_end_matches_whole_segments() {
    let prefixes = ["/fees", "/fees/due", "/seats", "/seats/"];
    let cases = [
        ("/fees", Some("/fees")),
        ("/fees/", Some("/fees")),
        ("/fees/7", Some("/fees")),
        ("/feesold", None),
        ("/fees/due", Some("/fees/due")),
        ("/fees/due/7", Some("/fees/due")),
        ("/fees/dues", Some("/fees")),
        ("/seats", Some("/seats")),
        ("/seats/", Some("/seats/")),
        ("/seats/7", Some("/seats/")),
    ];
    for (path, expected) in cases {
        assert_eq!(service_for(&prefixes, path).as_deref(), expected, "{path}");
    }
}
