//! Keys: withdrawal during use, and removal from everything that is sent to endpoints.

use std::time::Duration;

use http::Method;
use quetzalpick_standin::engine::Options;

use crate::deployment::{Deployment, LAGOS, PASTO, add_key, quick_engine, withdraw_key};

const CHAT: &str = "/v1/chat/completions";
const HELLO: &str =
    r#"{"model":"menu","messages":[{"role":"user","content":"Draft"}],"max_tokens":4}"#;

/// Returns the base64 form of a text, as browsers send user names and passwords.
fn base64(text: &str) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut encoded = String::new();
    for chunk in text.as_bytes().chunks(3) {
        let mut bits = 0_u32;
        for index in 0..3 {
            bits = bits << 8 | u32::from(*chunk.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = bits >> (18 - 6 * index) & 63;
            let shown = index <= chunk.len();
            encoded.push(if shown {
                char::from(DIGITS[digit as usize])
            } else {
                '='
            });
        }
    }
    encoded
}

#[tokio::test(flavor = "multi_thread")]
async fn endpoints_never_receive_a_key() {
    let deployment = Deployment::start().await;
    let gate = deployment.gate("vm-1").await;
    let bearer = format!("Bearer {LAGOS}");
    let basic = format!("Basic {}", base64(&format!("user:{LAGOS}")));
    let cookie = format!("session={LAGOS}; theme=dark");
    let encoded: String = LAGOS.bytes().map(|b| format!("%{b:02x}")).collect();
    let twice = encoded.replace('%', "%25");
    let variants: Vec<(&str, &str)> = vec![
        ("x-api-key", LAGOS),
        ("api-key", LAGOS),
        ("x-auth-token", LAGOS),
        ("proxy-authorization", &basic),
        ("cookie", &cookie),
        ("x-forwarded-authorization", &bearer),
        ("accept", LAGOS),
        ("accept-language", LAGOS),
        ("idempotency-key", LAGOS),
        ("if-match", LAGOS),
        ("x-request-id", LAGOS),
        ("referer", LAGOS),
        ("user-agent", LAGOS),
    ];
    let queries = [
        format!("api_key={LAGOS}&day=2"),
        format!("day=2&Access-Token={encoded}"),
        format!("day={LAGOS}"),
        format!("day={encoded}"),
        format!("day={twice}"),
        LAGOS.to_owned(),
        format!("{LAGOS}=1&key={twice}"),
    ];
    for (name, value) in &variants {
        let headers = [("authorization", bearer.as_str()), (*name, *value)];
        gate.client.call(Method::POST, CHAT, &headers, HELLO).await;
        for path in [
            "/services/orders/availability",
            "/services/orders/bookings/7",
        ] {
            gate.client.get(path, &headers).await;
        }
        // The key is sent only in this header, to a route that needs no key.
        gate.client
            .get("/services/orders/availability", &[(*name, *value)])
            .await;
    }
    for query in &queries {
        let headers = [("authorization", bearer.as_str())];
        let path = format!("{CHAT}?{query}");
        gate.client.call(Method::POST, &path, &headers, HELLO).await;
        let path = format!("/services/orders/availability?{query}");
        gate.client.get(&path, &headers).await;
    }
    // The key cannot be removed from a body or a path, so the request is refused.
    let in_body = HELLO.replace("Draft", LAGOS);
    let escaped = HELLO.replace("Draft", &LAGOS.replace('-', "\\u002d"));
    for body in [in_body, escaped] {
        assert_eq!(gate.client.post(CHAT, LAGOS, body).await.status, 400);
    }
    let path = format!("/services/orders/bookings/{LAGOS}");
    let headers = [("authorization", bearer.as_str())];
    assert_eq!(gate.client.get(&path, &headers).await.status, 400);

    let received = [
        deployment.engines[0].record().requests,
        deployment.service.record().requests,
    ];
    for form in [LAGOS, &encoded, &twice, &basic[6..]] {
        assert!(
            !received.iter().any(|received| received.contains(form)),
            "an endpoint received {form}"
        );
    }
    // The records contain what was intended for the endpoints, so they would contain the key as well.
    assert!(received[1].queries.iter().any(|query| query == "day=2"));
    assert!(deployment.engines[0].record().executed > 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_key_is_refused_on_an_open_connection_and_ends_its_stream() {
    let slow = Options {
        token: Duration::from_millis(50),
        stop_after: 10_000,
        ..quick_engine()
    };
    let deployment = Deployment::with_engines(vec![slow]).await;
    let gate = deployment.gate("vm-1").await;
    deployment
        .change(add_key("lagos-2", "lagos", "sk-lagos-second-key"))
        .await;
    gate.wait_until(|state| state.catalog().keys().len() == 3)
        .await;
    let long = HELLO.replace(r#""max_tokens":4"#, r#""max_tokens":5000,"stream":true"#);
    let mut withdrawn = gate.client.stream(LAGOS, long.clone()).await;
    let mut remaining = gate.client.stream("sk-lagos-second-key", long).await;
    withdrawn.next().await.unwrap();
    remaining.next().await.unwrap();

    deployment.change(withdraw_key("lagos-1")).await;
    let events = withdrawn.rest().await;
    let last = events.last().unwrap();
    assert!(last.starts_with("event: error"), "{last}");
    assert!(last.contains("withdrawn"), "{last}");
    // The request is cancelled at the engine, the other key's stream continues, and the same connection no longer
    // gives access.
    crate::process::wait_until(|| deployment.engines[0].record().cancelled == 1).await;
    assert!(remaining.next().await.unwrap().starts_with("data: {"));
    let refused = gate.client.post(CHAT, LAGOS, HELLO).await;
    assert_eq!((refused.status, refused.verdict()), (401, "not-run"));
    let served = gate.client.post(CHAT, "sk-lagos-second-key", HELLO).await;
    assert_eq!(served.status, 200);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gate_without_lease_refuses_requests_and_ends_streams() {
    let slow = Options {
        token: Duration::from_millis(50),
        stop_after: 10_000,
        ..quick_engine()
    };
    let deployment = Deployment::with_engines(vec![slow]).await;
    let gate = deployment.gate("vm-1").await;
    // With two further voters, one gate alone is no majority.
    let mut others = vec![deployment.gate("vm-2").await, deployment.gate("vm-3").await];
    gate.wait_until(|state| state.roster().voters().len() == 3)
        .await;
    let long = HELLO.replace(r#""max_tokens":4"#, r#""max_tokens":5000,"stream":true"#);
    let mut stream = gate.client.stream(PASTO, long.replace("5000", "900")).await;
    stream.next().await.unwrap();
    gate.log.set_disconnected(true);
    for other in &mut others {
        other.kill();
    }
    let events = stream.rest().await;
    let last = events.last().unwrap();
    assert!(last.contains("cut off"), "{last}");
    let refused = gate.client.post(CHAT, LAGOS, HELLO).await;
    assert_eq!((refused.status, refused.verdict()), (503, "not-run"));
    assert!(refused.headers.contains_key("retry-after"));
    // Once the log is reachable, the gate serves again.
    gate.log.set_disconnected(false);
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    while gate.client.post(CHAT, LAGOS, HELLO).await.status != 200 {
        assert!(tokio::time::Instant::now() < deadline, "never serves again");
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
