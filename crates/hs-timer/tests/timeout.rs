//! Timeouts of a process that is late itself.

use std::time::{Duration, Instant};

use hs_timer::{TimedOut, timeout};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;

/// Timeout of the calls.
const LIMIT: Duration = Duration::from_millis(100);

/// Time for which the process does not run, during a call.
const PAUSE: Duration = Duration::from_millis(400);

/// Starts a peer on a thread of its own that answers each byte at once.
fn echo_peer() -> std::net::SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a free port");
    let address = listener.local_addr().expect("a bound socket");
    std::thread::spawn(move || {
        use std::io::{Read, Write};
        let (mut stream, _) = listener.accept().expect("a connection");
        let mut byte = [0];
        while stream.read_exact(&mut byte).is_ok() {
            let _ = stream.write_all(&byte);
        }
    });
    address
}

/// Sends bytes to a peer from a task of its own, as a connection pool does.
async fn connection(
    mut stream: TcpStream,
    mut calls: tokio::sync::mpsc::Receiver<oneshot::Sender<()>>,
) {
    while let Some(reply) = calls.recv().await {
        let mut byte = [7];
        stream.write_all(&byte).await.expect("the peer reads");
        stream
            .read_exact(&mut byte)
            .await
            .expect("the peer answers");
        let _ = reply.send(());
    }
}

/// Guards against a peer that counts as silent because this process was paused while the answer arrived.
#[tokio::test(flavor = "current_thread")]
async fn an_answer_that_arrived_during_a_pause_is_not_a_timeout() {
    let stream = TcpStream::connect(echo_peer())
        .await
        .expect("the peer listens");
    let (calls, receiver) = tokio::sync::mpsc::channel(1);
    tokio::spawn(connection(stream, receiver));
    for _ in 0..3 {
        let (reply, answer) = oneshot::channel();
        let call = timeout(LIMIT, async {
            calls.send(reply).await.expect("the connection lives");
            answer.await
        });
        let pause = async {
            // The request is sent before the process stops.
            tokio::time::sleep(Duration::from_millis(5)).await;
            std::thread::sleep(PAUSE);
        };
        let (result, ()) = tokio::join!(call, pause);
        assert_eq!(result, Ok(Ok(())), "the answer arrived in time");
    }
}

/// Guards against a timeout that never ends, whether or not the process is late.
#[tokio::test(flavor = "current_thread")]
async fn a_silent_peer_times_out() {
    for pause in [Duration::ZERO, PAUSE] {
        let started_at = Instant::now();
        let call = timeout(LIMIT, std::future::pending::<()>());
        let pause = async {
            tokio::task::yield_now().await;
            std::thread::sleep(pause);
        };
        let (result, ()) = tokio::join!(call, pause);
        assert_eq!(result, Err(TimedOut { limit: LIMIT }));
        assert!(started_at.elapsed() < PAUSE + LIMIT * 5);
    }
}
