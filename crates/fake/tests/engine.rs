//! Tests of the fake engine over HTTP: streaming, resume, import, cancellation and faults.

use std::net::SocketAddr;
use std::time::Duration;

use fake::engine::completion::Export;
use fake::engine::model::{Config, Counts};
use fake::engine::{Completion, Event, Server, token};
use fake::fault::{Faults, Trigger};
use fake::replica::Load;
use fake::{Handle, engine};
use reqwest::{Client, RequestBuilder, Response};
use serde_json::json;

const PROMPT: &str = "lease file ";
const MAX_TOKENS: u32 = 6;

struct Fixture {
    client: Client,
    handle: Handle,
}

/// Events that a client received from a stream.
#[derive(Debug, Default, PartialEq)]
struct Received {
    ids: Vec<u32>,
    tokens: Vec<String>,
    done: bool,
    interrupted: bool,
}

impl Fixture {
    async fn new(server: Server) -> Self {
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            client: Client::new(),
            handle: server.start(addr).await.unwrap(),
        }
    }

    async fn quick() -> Self {
        Self::new(Server::new().with_config(Config::quick())).await
    }

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.handle.url())
    }

    fn request(&self, dispatch: &str, completion: &Completion) -> RequestBuilder {
        let request = self.client.post(self.url("/v1/completions")).json(completion);
        request.header("bilberrylatch-dispatch", dispatch)
    }

    async fn stream(&self, completion: &Completion) -> Received {
        let response = self.request("d", completion).send().await.unwrap();
        assert_eq!(response.headers()["bilberrylatch-dispatch"], "d");
        read_stream(response).await
    }

    async fn set_faults(&self, faults: Faults) {
        self.client
            .put(self.url("/admin/faults"))
            .json(&faults)
            .send()
            .await
            .unwrap();
    }

    async fn get<T>(&self, path: &str) -> T
    where
        T: serde::de::DeserializeOwned,
    {
        self.client
            .get(self.url(path))
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap()
    }
}

async fn read_stream(mut response: Response) -> Received {
    let mut text = Vec::new();
    let mut received = Received::default();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => text.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(_) => {
                received.interrupted = true;
                break;
            }
        }
    }
    for event in String::from_utf8(text).unwrap().split_terminator("\n\n") {
        for line in event.lines() {
            match line.split_once(": ").unwrap() {
                ("id", id) => received.ids.push(id.parse().unwrap()),
                ("event", name) => received.done = name == "done",
                ("data", data) => {
                    let data = serde_json::from_str::<serde_json::Value>(data).unwrap();
                    received.tokens.extend(data["token"].as_str().map(str::to_owned));
                }
                other => panic!("{other:?}"),
            }
        }
    }
    received
}

fn completion(resume_from: u32) -> Completion {
    Completion {
        prompt: PROMPT.to_owned(),
        max_tokens: MAX_TOKENS,
        stream: true,
        resume_from,
        ..Completion::default()
    }
}

fn expected(prompt: &str, ids: &[u32]) -> Received {
    let tokens = ids.iter().map(|index| token(prompt, *index)).collect();
    Received {
        ids: ids.to_vec(),
        tokens,
        done: true,
        interrupted: false,
    }
}

#[tokio::test]
async fn faults_change_streams() {
    struct Case {
        from: u32,
        configure: fn(&mut Faults),
        received: Received,
    }
    const ONCE: Trigger = Trigger::next(1);
    let case = |from, received, configure| Case {
        from,
        configure,
        received,
    };
    let complete = |ids: &[u32]| expected(PROMPT, ids);
    let incomplete = |interrupted| Received {
        done: false,
        interrupted,
        ..expected(PROMPT, &[0, 1, 2])
    };
    let cases = [
        case(0, complete(&[0, 1, 2, 3, 4, 5]), |_| ()),
        case(4, complete(&[4, 5]), |_| ()),
        case(6, complete(&[]), |_| ()),
        case(0, complete(&[0, 1, 2, 3, 4, 5]), |faults| faults.freeze_ms = 30),
        case(4, complete(&[4, 4, 5, 5]), |faults| faults.duplicate = ONCE),
        case(0, incomplete(false), |faults| faults.truncate = ONCE),
        case(0, incomplete(true), |faults| faults.cut = ONCE),
    ];
    for (index, case) in cases.into_iter().enumerate() {
        let fixture = Fixture::quick().await;
        let mut faults = Faults::default();
        (case.configure)(&mut faults);
        fixture.set_faults(faults).await;
        assert_eq!(
            fixture.stream(&completion(case.from)).await,
            case.received,
            "case {index}"
        );
    }
}

#[tokio::test]
async fn crossed_fault_sends_previous_stream() {
    let fixture = Fixture::quick().await;
    let other = Completion {
        prompt: "other".to_owned(),
        max_tokens: 2,
        ..completion(0)
    };
    fixture.request("before", &other).send().await.unwrap();
    fixture
        .set_faults(Faults {
            crossed: Trigger::next(1),
            ..Faults::default()
        })
        .await;
    let crossed = fixture.request("mine", &completion(0)).send().await.unwrap();
    assert_eq!(crossed.headers()["bilberrylatch-dispatch"], "before");
    let received = read_stream(crossed).await;
    assert_eq!(received, expected("other", &received.ids));
}

#[tokio::test]
async fn text_answer_equals_concatenated_stream() {
    let fixture = Fixture::quick().await;
    let completion = Completion {
        stream: false,
        ..completion(2)
    };
    let response = fixture.request("d", &completion).send().await.unwrap();
    let text = response.json::<engine::completion::Text>().await.unwrap();
    assert_eq!(text.text, expected(PROMPT, &[2, 3, 4, 5]).tokens.concat());
}

#[tokio::test]
async fn imported_kv_cache_avoids_recomputation_on_resume() {
    let slow_config = Config {
        iteration_us: 20_000,
        ..Config::quick()
    };
    let source = Fixture::new(Server::new().with_config(slow_config)).await;
    let long_completion = Completion {
        max_tokens: 1_000,
        ..completion(0)
    };
    let mut stream = source.request("d-1", &long_completion).send().await.unwrap();
    stream.chunk().await.unwrap();
    let request = source
        .client
        .post(source.url("/v1/kv/export"))
        .json(&json!({"dispatch": "d-1"}));
    let export = request.send().await.unwrap().json::<Export>().await.unwrap();
    let cancelled = source
        .client
        .post(source.url("/v1/cancel/d-1"))
        .send()
        .await
        .unwrap();
    assert_eq!(cancelled.status(), 204);
    assert!(!read_stream(stream).await.done);

    let target = Fixture::quick().await;
    target
        .stream(&Completion {
            import: Some(export),
            ..completion(1)
        })
        .await;
    let counts = target.get::<Counts>("/admin/counts").await;
    assert_eq!((counts.recomputed, counts.prefilled), (0, 0));
    target.stream(&completion(1)).await;
    let counts = target.get::<Counts>("/admin/counts").await;
    assert_eq!(counts.recomputed, PROMPT.len().div_ceil(4) as u64 + 1);
}

#[tokio::test]
async fn dropped_stream_cancels_its_sequence() {
    let fixture = Fixture::quick().await;
    let long_completion = Completion {
        max_tokens: u32::MAX,
        ..completion(0)
    };
    let mut stream = fixture.request("d", &long_completion).send().await.unwrap();
    stream.chunk().await.unwrap();
    assert_eq!(fixture.get::<Load>("/v1/load").await.running, 1);
    drop(stream);
    while fixture.get::<Load>("/v1/load").await.running > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(fixture.get::<Counts>("/admin/counts").await.cancelled, 1);
}

#[tokio::test]
async fn lost_cache_events_leave_gaps() {
    struct Case {
        gaps: Trigger,
        numbers: &'static [u64],
    }
    let cases = [
        Case {
            gaps: Trigger::default(),
            numbers: &[1, 2],
        },
        Case {
            gaps: Trigger::next(1),
            numbers: &[2],
        },
    ];
    for case in cases {
        let fixture = Fixture::new(Server::new().with_config(Config::quick()).with_gaps(case.gaps)).await;
        for letter in ["a", "b"] {
            fixture
                .stream(&Completion {
                    prompt: letter.repeat(64),
                    ..completion(0)
                })
                .await;
        }
        let events = fixture.get::<Vec<Event>>("/v1/events?after=0").await;
        let numbers = events.iter().map(|event| event.number).collect::<Vec<_>>();
        assert_eq!(numbers, case.numbers);
        assert!(events.iter().all(|event| event.stored.len() == 1));
    }
}
