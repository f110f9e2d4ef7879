//! Orders to an engine that writes an answer once more before the next one on its connection.

use quetzalpick_client::engine::Client;
use quetzalpick_client::errors::Error;
use quetzalpick_client::http::{Pool, Timeouts};
use quetzalpick_client::traits::Engine;
use quetzalpick_client::wire::engine::{Action, Copy, Order};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Last bytes of an order.
const ORDER_END: &[u8] = br#""base":null}"#;

const FENCED: &[u8] = b"HTTP/1.1 409 Conflict\r\ncontent-length: 10\r\n\r\n{\"seen\":2}";

const ACCEPTED: &[u8] = b"HTTP/1.1 202 Accepted\r\ncontent-length: 0\r\n\r\n";

fn order(fencing: u64) -> Order {
    let copy = Copy {
        artifact: "m1".to_owned(),
        version: 1,
        memory_mb: 70,
    };
    Order {
        fencing,
        action: Action::Load,
        copy,
        base: None,
    }
}

/// Reads an order; returns whether it is the first one.
async fn read_order(stream: &mut TcpStream) -> Option<bool> {
    let mut request = Vec::new();
    while !request.ends_with(ORDER_END) {
        request.push(stream.read_u8().await.ok()?);
    }
    let request = String::from_utf8(request).unwrap();
    Some(request.contains(r#""fencing":1,"#))
}

/// Refuses the first order, and accepts others; repeats a refusal before the next answer on its connection.
async fn serve(mut stream: TcpStream) {
    let mut refused = false;
    while let Some(is_first) = read_order(&mut stream).await {
        if std::mem::replace(&mut refused, is_first) {
            stream.write_all(FENCED).await.unwrap();
        }
        let answer = if is_first { FENCED } else { ACCEPTED };
        // The caller may have closed the connection after the copy.
        let _ = stream.write_all(answer).await;
    }
}

#[tokio::test]
async fn the_refusal_of_an_earlier_order_is_not_taken_for_that_of_the_next() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream));
        }
    });
    let client = Client::new(Pool::default(), Timeouts::default());
    let refused = client.order(&address, &order(1)).await;
    assert!(matches!(refused, Err(Error::Fenced { newest: 2, .. })));
    client.order(&address, &order(3)).await.unwrap();
}
