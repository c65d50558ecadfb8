//! Callers can connect to a process without interruption while one incarnation replaces another.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use clock::Clock;
use log::LevelFilter;
use node::settings::{Format, Settings};
use node::{Node, supervise};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::oneshot;
use tokio::time::timeout;

/// Number of times that the incarnation is replaced.
const INCARNATIONS: usize = 5;

/// Number of requests sent while one incarnation ends and the next one starts.
const REQUESTS_PER_INCARNATION: usize = 200;

/// Interval between requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Maximum time to wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Settings without a reachable platform, which a node does not need to start and answer requests.
fn settings() -> Settings {
    let loopback = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
    Settings {
        listen: loopback,
        peer_listen: loopback,
        name: "node-0".into(),
        zone: "zone".into(),
        region: "region".into(),
        store: "http://127.0.0.1:9".to_owned(),
        cloud: "http://127.0.0.1:9".to_owned(),
        peers: Vec::new(),
        peer_secret: "incarnations-test-secret".to_owned(),
        operator_token: "incarnations-test-operator".to_owned(),
        drain: Duration::from_millis(100),
        log_format: Format::Human,
        log_level: LevelFilter::Off,
    }
}

/// Sends a request on a new connection and reads the response.
async fn ask(address: SocketAddr) -> std::io::Result<String> {
    let mut stream = TcpStream::connect(address).await?;
    let request = format!("GET /v1/health HTTP/1.1\r\nhost: {address}\r\nconnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).await?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await?;
    Ok(answer)
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn no_caller_is_refused_between_two_incarnations() {
    let clock = Clock::new();
    let node = Node::start_with(settings(), clock, None)
        .await
        .expect("the node starts");
    let address = node.address();
    let settings = Settings {
        listen: address,
        peer_listen: node.peer_address(),
        ..settings()
    };
    let (stop, stopped) = oneshot::channel::<()>();
    let mut fence = node.shared().lifecycle.clone();
    let (started_sender, mut started) = tokio::sync::mpsc::unbounded_channel();
    let supervisor = tokio::spawn(supervise(
        node,
        settings,
        clock,
        async move {
            let _told = stopped.await;
        },
        move |next| {
            let _unread = started_sender.send(next.shared().lifecycle.clone());
        },
    ));
    for incarnation in 0..INCARNATIONS {
        fence.fence();
        let mut requests = Vec::new();
        for _request in 0..REQUESTS_PER_INCARNATION {
            requests.push(tokio::spawn(timeout(TIMEOUT, ask(address))));
            tokio::time::sleep(REQUEST_INTERVAL).await;
        }
        assert!(!supervisor.is_finished(), "{:?}", supervisor.await);
        for (index, request) in requests.into_iter().enumerate() {
            let answer = request
                .await
                .expect("the request does not panic")
                .expect("an answer in time");
            let answer =
                answer.unwrap_or_else(|error| panic!("incarnation {incarnation}, request {index}: {error}"));
            assert!(answer.starts_with("HTTP/1.1 "), "{answer}");
        }
        fence = timeout(TIMEOUT, started.recv())
            .await
            .expect("the next incarnation starts in time")
            .expect("the supervisor is running");
    }
    stop.send(()).expect("the supervisor waits for the stop");
    supervisor
        .await
        .expect("the supervisor does not panic")
        .expect("a graceful stop");
}
