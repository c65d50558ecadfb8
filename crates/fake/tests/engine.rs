//! The engine over HTTP: streams, resume, import, cancel and faults.

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
const TOKENS: u32 = 6;

struct Bench {
    client: Client,
    handle: Handle,
}

/// What a reader of the stream saw.
#[derive(Debug, Default, PartialEq)]
struct Seen {
    ids: Vec<u32>,
    tokens: Vec<String>,
    done: bool,
    broken: bool,
}

impl Bench {
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

    async fn stream(&self, completion: &Completion) -> Seen {
        let response = self.request("d", completion).send().await.unwrap();
        assert_eq!(response.headers()["bilberrylatch-dispatch"], "d");
        read(response).await
    }

    async fn switch(&self, faults: Faults) {
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

async fn read(mut response: Response) -> Seen {
    let mut text = Vec::new();
    let mut seen = Seen::default();
    loop {
        match response.chunk().await {
            Ok(Some(chunk)) => text.extend_from_slice(&chunk),
            Ok(None) => break,
            Err(_) => {
                seen.broken = true;
                break;
            }
        }
    }
    for event in String::from_utf8(text).unwrap().split_terminator("\n\n") {
        for line in event.lines() {
            match line.split_once(": ").unwrap() {
                ("id", id) => seen.ids.push(id.parse().unwrap()),
                ("event", name) => seen.done = name == "done",
                ("data", data) => {
                    let data = serde_json::from_str::<serde_json::Value>(data).unwrap();
                    seen.tokens.extend(data["token"].as_str().map(str::to_owned));
                }
                other => panic!("{other:?}"),
            }
        }
    }
    seen
}

fn completion(resume_from: u32) -> Completion {
    Completion {
        prompt: PROMPT.to_owned(),
        max_tokens: TOKENS,
        stream: true,
        resume_from,
        ..Completion::default()
    }
}

fn expected(prompt: &str, ids: &[u32]) -> Seen {
    let tokens = ids.iter().map(|index| token(prompt, *index)).collect();
    Seen {
        ids: ids.to_vec(),
        tokens,
        done: true,
        broken: false,
    }
}

#[tokio::test]
async fn streams_and_their_faults() {
    struct Case {
        from: u32,
        set: fn(&mut Faults),
        seen: Seen,
    }
    const ONCE: Trigger = Trigger::next(1);
    let case = |from, seen, set| Case { from, set, seen };
    let whole = |ids: &[u32]| expected(PROMPT, ids);
    let unended = |broken| Seen {
        done: false,
        broken,
        ..expected(PROMPT, &[0, 1, 2])
    };
    let cases = [
        case(0, whole(&[0, 1, 2, 3, 4, 5]), |_| ()),
        case(4, whole(&[4, 5]), |_| ()),
        case(6, whole(&[]), |_| ()),
        case(0, whole(&[0, 1, 2, 3, 4, 5]), |faults| faults.freeze_ms = 30),
        case(4, whole(&[4, 4, 5, 5]), |faults| faults.duplicate = ONCE),
        case(0, unended(false), |faults| faults.truncate = ONCE),
        case(0, unended(true), |faults| faults.cut = ONCE),
    ];
    for (place, case) in cases.into_iter().enumerate() {
        let bench = Bench::quick().await;
        let mut faults = Faults::default();
        (case.set)(&mut faults);
        bench.switch(faults).await;
        assert_eq!(
            bench.stream(&completion(case.from)).await,
            case.seen,
            "case {place}"
        );
    }
}

#[tokio::test]
async fn crossed_stream_is_the_one_before() {
    let bench = Bench::quick().await;
    let other = Completion {
        prompt: "other".to_owned(),
        max_tokens: 2,
        ..completion(0)
    };
    bench.request("before", &other).send().await.unwrap();
    bench
        .switch(Faults {
            crossed: Trigger::next(1),
            ..Faults::default()
        })
        .await;
    let crossed = bench.request("mine", &completion(0)).send().await.unwrap();
    assert_eq!(crossed.headers()["bilberrylatch-dispatch"], "before");
    let seen = read(crossed).await;
    assert_eq!(seen, expected("other", &seen.ids));
}

#[tokio::test]
async fn whole_answer_is_the_stream_joined() {
    let bench = Bench::quick().await;
    let completion = Completion {
        stream: false,
        ..completion(2)
    };
    let response = bench.request("d", &completion).send().await.unwrap();
    let text = response.json::<engine::completion::Text>().await.unwrap();
    assert_eq!(text.text, expected(PROMPT, &[2, 3, 4, 5]).tokens.concat());
}

#[tokio::test]
async fn exported_cache_saves_the_resume() {
    let slow = Config {
        iteration_us: 20_000,
        ..Config::quick()
    };
    let leaving = Bench::new(Server::new().with_config(slow)).await;
    let long = Completion {
        max_tokens: 1_000,
        ..completion(0)
    };
    let mut stream = leaving.request("d-1", &long).send().await.unwrap();
    stream.chunk().await.unwrap();
    let asked = leaving
        .client
        .post(leaving.url("/v1/kv/export"))
        .json(&json!({"dispatch": "d-1"}));
    let export = asked.send().await.unwrap().json::<Export>().await.unwrap();
    let cancelled = leaving
        .client
        .post(leaving.url("/v1/cancel/d-1"))
        .send()
        .await
        .unwrap();
    assert_eq!(cancelled.status(), 204);
    assert!(!read(stream).await.done);

    let staying = Bench::quick().await;
    staying
        .stream(&Completion {
            import: Some(export),
            ..completion(1)
        })
        .await;
    let counts = staying.get::<Counts>("/admin/counts").await;
    assert_eq!((counts.recomputed, counts.prefilled), (0, 0));
    staying.stream(&completion(1)).await;
    let counts = staying.get::<Counts>("/admin/counts").await;
    assert_eq!(counts.recomputed, PROMPT.len().div_ceil(4) as u64 + 1);
}

#[tokio::test]
async fn dropped_stream_is_cancelled() {
    let bench = Bench::quick().await;
    let endless = Completion {
        max_tokens: u32::MAX,
        ..completion(0)
    };
    let mut stream = bench.request("d", &endless).send().await.unwrap();
    stream.chunk().await.unwrap();
    assert_eq!(bench.get::<Load>("/v1/load").await.running, 1);
    drop(stream);
    while bench.get::<Load>("/v1/load").await.running > 0 {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert_eq!(bench.get::<Counts>("/admin/counts").await.cancelled, 1);
}

#[tokio::test]
async fn cache_events_have_gaps() {
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
        let bench = Bench::new(Server::new().with_config(Config::quick()).with_gaps(case.gaps)).await;
        for file in ["a", "b"] {
            bench
                .stream(&Completion {
                    prompt: file.repeat(64),
                    ..completion(0)
                })
                .await;
        }
        let events = bench.get::<Vec<Event>>("/v1/events?after=0").await;
        let numbers = events.iter().map(|event| event.number).collect::<Vec<_>>();
        assert_eq!(numbers, case.numbers);
        assert!(events.iter().all(|event| event.stored.len() == 1));
    }
}
