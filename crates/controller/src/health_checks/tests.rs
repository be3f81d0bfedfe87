//! Tests of one health check against an endpoint that answers with given bytes.

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

use super::*;

/// Checks an endpoint that answers with these bytes and keeps the connection open.
async fn check_answer(answer: Vec<u8>) -> HealthCheckOutcome {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let endpoint = tokio::spawn(async move {
        let (mut connection, _) = listener.accept().await.unwrap();
        let _ = connection.read(&mut [0; 1024]).await;
        let _ = connection.write_all(&answer).await;
        std::future::pending::<()>().await;
    });
    let outcome = check(address, RESPONSE_TIMEOUT).await;
    endpoint.abort();
    outcome
}

/// Endpoints answer with long heads, or heads of very many short fields. Each connection read up to 400 KiB of them, of 128
/// endpoints at once.
#[test]
fn an_answer_with_a_long_head_is_read_no_further() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    runtime.block_on(async {
        let answer =
            |fields: String| format!("HTTP/1.1 200 OK\r\n{fields}content-length: 0\r\n\r\n").into_bytes();
        assert_eq!(check_answer(answer("x: 1\r\n".repeat(50))).await, HealthCheckOutcome::Passed);
        assert_eq!(check_answer(answer("x: 1\r\n".repeat(10_000))).await, HealthCheckOutcome::Failed);
        let long = format!("x: {}\r\n", "1".repeat(2 * MAX_HEAD_BYTES));
        assert_eq!(check_answer(answer(long)).await, HealthCheckOutcome::Failed);
    });
}
