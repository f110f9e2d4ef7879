//! Tests of the attribution of answers to attempts of a request.

use bytes::Bytes;
use http::Extensions;
use http_body_util::Full;
use quetzalpick_client::http::{Arrival, Carrier, Fresh, Owner, Request, Trail};
use quetzalpick_core::id::Endpoint;

fn is_fresh(trail: &mut Trail, endpoint: &str, address: &str) -> bool {
    let mut request = Request::new(Full::new(Bytes::new()));
    trail.begin(&Endpoint::try_new(endpoint).unwrap(), address, &mut request);
    request.extensions().get::<Fresh>().is_some()
}

#[test]
fn a_request_returns_to_an_endpoint_or_its_address_on_a_new_connection() {
    let mut trail = Trail::default();
    assert!(!is_fresh(&mut trail, "a", "127.0.0.1:9000"));
    assert!(is_fresh(&mut trail, "a", "127.0.0.1:9000"));
    assert!(!is_fresh(&mut trail, "b", "127.0.0.1:9001"));
    assert!(is_fresh(&mut trail, "c", "127.0.0.1:9001"), "another name");
    assert!(is_fresh(&mut trail, "b", "127.0.0.1:9002"), "moved");
    assert!(
        is_fresh(&mut trail, "d", "127.0.0.1:09000"),
        "written otherwise"
    );
}

#[test]
fn an_answer_belongs_to_an_attempt_only_if_no_earlier_one_can_look_alike() {
    let owner = |is_repeat, is_first, borne: Option<&str>| {
        let arrival = Arrival {
            is_repeat,
            is_first,
        };
        arrival.owner(borne.map(str::as_bytes), Some(b"1"))
    };
    for is_repeat in [false, true] {
        assert_eq!(owner(is_repeat, true, Some("1")), Owner::Present);
        assert_eq!(owner(is_repeat, true, None), Owner::Present);
        assert_eq!(owner(is_repeat, true, Some("2")), Owner::Other);
        assert_eq!(owner(is_repeat, false, Some("2")), Owner::Other);
        assert_eq!(owner(is_repeat, false, None), Owner::Unknown);
    }
    assert_eq!(owner(false, false, Some("1")), Owner::Present);
    assert_eq!(owner(true, false, Some("1")), Owner::Unknown);
}

#[test]
fn an_answer_that_a_vm_of_a_former_build_passed_on_does_not_count_as_the_first() {
    let mut request = Request::new(Full::new(Bytes::new()));
    let endpoint = Endpoint::try_new("a").unwrap();
    let attempt = Trail::default().begin(&endpoint, "127.0.0.1:9000", &mut request);
    let mut extensions = Extensions::new();
    assert!(!attempt.arrival(&extensions).is_first);
    extensions.insert("17/1".parse::<Carrier>().unwrap());
    assert!(attempt.arrival(&extensions).is_first);
    extensions.insert("17/2".parse::<Carrier>().unwrap());
    assert!(!attempt.arrival(&extensions).is_first);
}
