//! Selects the route of a service by method and path; a path not in plain form must not match an open route.

use quetzalpick_core::record::{Change, Route, ServiceSpec};

use crate::script::{Session, service};

fn route(method: &str, prefix: &str, open: bool) -> Route {
    Route {
        method: method.to_owned(),
        prefix: prefix.to_owned(),
        open,
        idempotent: method == "GET",
    }
}

#[test]
fn no_spelling_of_a_closed_path_matches_an_open_prefix() {
    let mut session = Session::default();
    let spec = ServiceSpec {
        charge: 1,
        routes: vec![
            route("*", "/open/", true),
            route("GET", "/open/status", true),
            route("*", "/open/admin", false),
            route("GET", "/orders", false),
        ],
    };
    session.changes([Change::SetService(service("desk"), spec)]);
    let desk = service("desk");
    let open = |method: &str, path: &str| {
        let route = session.state.catalog().route(&desk, method, path);
        route.map(|route| (route.open, route.idempotent))
    };
    assert_eq!(open("POST", "/open"), Some((true, false)));
    assert_eq!(open("POST", "/open/x/"), Some((true, false)));
    assert_eq!(open("GET", "/open/status/1"), Some((true, true)));
    assert_eq!(open("POST", "/open/status/1"), Some((true, false)));
    assert_eq!(open("GET", "/open/admin/keys"), Some((false, false)));
    assert_eq!(open("GET", "/orders/7"), Some((false, true)));
    let closed = [
        "/opened",
        "/open/../orders",
        "/open/./admin",
        "/open//admin",
        "//open/x",
        "/open/%61dmin",
        "/open/%2e%2e/orders",
        "/open/..;/orders",
        "/open\\..\\orders",
        "/open/a b",
        "/open/\u{e4}",
        "/open?x",
        "/open#x",
        "open/x",
        "/orders7",
        "",
        "/",
    ];
    for path in closed {
        assert_eq!(open("GET", path), None, "{path}");
    }
    // A path in plain form has the same segments for every server.
    for path in ["/open/a.b", "/open/...", "/open/a@b:c,d"] {
        assert_eq!(open("GET", path), Some((true, false)), "{path}");
    }
}
