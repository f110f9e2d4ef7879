//! Planned stop of a gate: it finishes its requests and hands its shares over.

use std::time::Duration;

use quetzalpick_standin::engine::Options;
use quetzalpick_standin::fault::Fault;

use crate::client::tokens;
use crate::deployment::{Deployment, LAGOS, quick_engine};

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_interrupts_no_request() {
    let slow = Options {
        token: Duration::from_millis(20),
        ..quick_engine()
    };
    let deployment = Deployment::with_engines(vec![slow]).await;
    let mut leaving = deployment.gate("vm-1").await;
    let staying = deployment.gate("vm-2").await;
    let chat = r#"{"model":"menu","messages":[{"role":"user","content":"Stop"}],"max_tokens":60,"stream":true}"#;
    let mut stream = leaving.client.stream(LAGOS, chat).await;
    let mut events = vec![stream.next().await.unwrap()];
    deployment
        .service
        .faults()
        .set(Fault::Slow { ms: 500 }, Some(1));
    let client = leaving.client.clone();
    let booking = tokio::spawn(async move { client.book(LAGOS, "9", "9").await });
    let plain = chat.replace("true", "false");
    let client = leaving.client.clone();
    let plain =
        tokio::spawn(async move { client.post("/v1/chat/completions", LAGOS, plain).await });
    // All three requests have reached their endpoints before the stop begins.
    crate::process::wait_until(|| {
        deployment.engines[0].record().executed == 2
            && !deployment.service.record().requests.headers.is_empty()
    })
    .await;
    let address = leaving.client.address;
    let stopped = leaving.stop();
    events.extend(stream.rest().await);
    let (_, numbers, last) = tokens(&events);
    assert_eq!((numbers.len(), last.as_str()), (60, "data: [DONE]"));
    assert_eq!(plain.await.unwrap().status, 200);
    assert_eq!(booking.await.unwrap().unwrap().status, 201);
    assert!(stopped.await.unwrap(), "everything was finished");
    assert!(tokio::net::TcpStream::connect(address).await.is_err());
    // The departure and the booking's outcome are recorded, without a suspicion.
    staying
        .wait_until(|state| state.roster().members().len() == 1)
        .await;
    let repeat = staying.client.book(LAGOS, "9", "9").await.unwrap();
    assert_eq!(repeat.status, 201);
    assert_eq!(deployment.executions("9"), 1);
    // Control: a stop that ends the process immediately fails the same comparison.
    let mut killed = deployment.gate("vm-3").await;
    let mut stream = killed.client.stream(LAGOS, chat).await;
    let mut events = vec![stream.next().await.unwrap()];
    killed.kill();
    events.extend(stream.rest().await);
    assert!(tokens(&events).1.len() < 60);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_planned_stop_hands_its_shares_over() {
    let deployment = Deployment::start().await;
    let mut leaving = deployment.gate("vm-1").await;
    let staying = deployment.gate("vm-2").await;
    assert!(leaving.stop().await.unwrap());
    staying
        .wait_until(|state| state.shares().awaiting().is_empty())
        .await;
    // The complete burst of the workspace is available at the remaining gate.
    let body =
        r#"{"model":"menu","messages":[{"role":"user","content":"Burst"}],"max_tokens":900}"#;
    let deadline = tokio::time::Instant::now() + Duration::from_secs(20);
    let pasto = crate::deployment::PASTO;
    while staying
        .client
        .post("/v1/chat/completions", pasto, body)
        .await
        .status
        != 200
    {
        assert!(
            tokio::time::Instant::now() < deadline,
            "shares never arrive"
        );
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}
