//! Tests of the fake key-value service over HTTP, with its faults.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use fake::Handle;
use fake::fault::{Outage, Trigger};
use fake::kv::page::Page;
use fake::kv::{Counts, Faults, Server};
use reqwest::{Client, Method, RequestBuilder};

struct Fixture {
    client: Client,
    handle: Handle,
}

impl Fixture {
    async fn new(server: Server) -> Self {
        let addr = SocketAddr::from(([127, 0, 0, 1], 0));
        Self {
            client: Client::new(),
            handle: server.start(addr).await.unwrap(),
        }
    }

    fn call(&self, method: Method, path: &str) -> RequestBuilder {
        self.client
            .request(method, format!("{}{path}", self.handle.url()))
    }

    async fn status(&self, request: RequestBuilder) -> u16 {
        request.send().await.unwrap().status().as_u16()
    }

    async fn set_faults(&self, faults: Faults) {
        let set = self.call(Method::PUT, "/admin/faults").json(&faults);
        assert_eq!(self.status(set).await, 204);
    }

    async fn counts(&self) -> Counts {
        self.call(Method::GET, "/admin/counts")
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap()
    }

    async fn page(&self, path: &str) -> Page {
        let body = self
            .call(Method::GET, path)
            .send()
            .await
            .unwrap()
            .bytes()
            .await
            .unwrap();
        Page::decode(&body).unwrap()
    }
}

#[tokio::test]
async fn conditional_writes_check_the_current_revision() {
    struct Case {
        method: Method,
        header: Option<(&'static str, &'static str)>,
        status: u16,
        etag: Option<&'static str>,
    }
    let case = |method, header, status, etag| Case {
        method,
        header,
        status,
        etag,
    };
    // The cases run in order, and each depends on the state that the previous ones left.
    let cases = [
        case(Method::GET, None, 404, None),
        case(Method::PUT, Some(("if-match", "\"1\"")), 412, None),
        case(Method::PUT, Some(("if-none-match", "*")), 200, Some("\"1\"")),
        case(Method::PUT, Some(("if-none-match", "*")), 412, Some("\"1\"")),
        case(Method::PUT, Some(("if-match", "\"1\"")), 200, Some("\"2\"")),
        case(Method::PUT, Some(("if-match", "\"1\"")), 412, Some("\"2\"")),
        case(Method::PUT, Some(("if-match", "2")), 400, None),
        case(Method::PUT, Some(("bilberrylatch-lease", "none")), 409, None),
        case(Method::GET, None, 200, Some("\"2\"")),
        case(Method::DELETE, Some(("if-match", "\"1\"")), 412, Some("\"2\"")),
        case(Method::DELETE, Some(("if-match", "\"2\"")), 204, Some("\"3\"")),
        case(Method::DELETE, None, 404, None),
    ];
    let fixture = Fixture::new(Server::new()).await;
    for (index, case) in cases.into_iter().enumerate() {
        let mut request = fixture.call(case.method, "/v1/kv/zones/north");
        if let Some((name, value)) = case.header {
            request = request.header(name, value);
        }
        let response = request.body("value").send().await.unwrap();
        assert_eq!(response.status(), case.status, "case {index}");
        let etag = response.headers().get("etag").map(|etag| etag.to_str().unwrap());
        assert_eq!(etag, case.etag, "case {index}");
    }
    let large = fixture
        .call(Method::PUT, "/v1/kv/large")
        .body(vec![0; (1 << 20) + 1]);
    assert_eq!(fixture.status(large).await, 413);
}

#[tokio::test]
async fn write_with_lost_answer_takes_effect() {
    let fixture = Fixture::new(Server::new()).await;
    fixture
        .set_faults(Faults {
            lose_answer: Trigger::next(1),
            ..Faults::default()
        })
        .await;
    let write = || {
        fixture
            .call(Method::PUT, "/v1/kv/head")
            .header("if-none-match", "*")
    };
    let lost = write()
        .header("bilberrylatch-write-id", "w-1")
        .body("x")
        .send()
        .await;
    assert!(lost.is_err());
    let read = fixture.call(Method::GET, "/v1/kv/head").send().await.unwrap();
    assert_eq!(read.headers()["bilberrylatch-write-id"], "w-1");
    assert_eq!(fixture.status(write()).await, 412);
}

#[tokio::test]
async fn outages_reject_writes() {
    for outage in [Outage::Reset, Outage::Unavailable, Outage::Hang] {
        let fixture = Fixture::new(Server::new()).await;
        fixture
            .set_faults(Faults {
                outage: Some(outage),
                ..Faults::default()
            })
            .await;
        let write = fixture
            .call(Method::PUT, "/v1/kv/head")
            .timeout(Duration::from_millis(100));
        let refused = write.send().await.is_ok_and(|response| response.status() == 503);
        assert_eq!(refused, outage == Outage::Unavailable);
        fixture.set_faults(Faults::default()).await;
        assert_eq!(
            fixture.status(fixture.call(Method::GET, "/v1/kv/head")).await,
            404
        );
    }
}

#[tokio::test]
async fn refused_port_reopens() {
    let fixture = Fixture::new(Server::new()).await;
    // The connection of this call is reset too, so its response may be lost.
    let faults = Faults {
        refuse_ms: 200,
        ..Faults::default()
    };
    let _lost = fixture
        .call(Method::PUT, "/admin/faults")
        .json(&faults)
        .send()
        .await;
    let refused = fixture.call(Method::GET, "/v1/kv/head").send().await;
    assert!(refused.unwrap_err().is_connect());
    tokio::time::sleep(Duration::from_millis(300)).await;
    assert_eq!(
        fixture.status(fixture.call(Method::GET, "/v1/kv/head")).await,
        404
    );
}

#[tokio::test]
async fn watch_wakes_on_writes_and_reports_compaction() {
    let fixture = Fixture::new(Server::new()).await;
    let watch = "/v1/watch?prefix=a/&after=0&timeout_ms=10000";
    let (page, _) = tokio::join!(fixture.page(watch), async {
        while fixture.counts().await.waiting == 0 {
            tokio::task::yield_now().await;
        }
        fixture
            .status(fixture.call(Method::PUT, "/v1/kv/b/1").body("other"))
            .await;
        fixture
            .status(fixture.call(Method::PUT, "/v1/kv/a/1").body("mine"))
            .await
    });
    assert_eq!(page.header.items[0].key, "a/1");
    assert_eq!(page.values, [Bytes::from("mine")]);
    let empty = fixture.page("/v1/watch?prefix=a/&after=2&timeout_ms=10").await;
    assert_eq!(empty, Page::new(2));
    fixture
        .set_faults(Faults {
            compact: true,
            ..Faults::default()
        })
        .await;
    assert_eq!(fixture.status(fixture.call(Method::GET, watch)).await, 410);
    let counts = fixture.counts().await;
    assert_eq!((counts.watches, counts.waiting, counts.writes), (3, 0, 2));
}

#[tokio::test]
async fn expired_lease_deletes_its_keys() {
    let fixture = Fixture::new(Server::new()).await;
    let request = fixture
        .call(Method::POST, "/v1/leases")
        .json(&serde_json::json!({"ttl_ms": 60}));
    let granted = request
        .send()
        .await
        .unwrap()
        .json::<serde_json::Value>()
        .await
        .unwrap();
    let id = granted["id"].as_str().unwrap();
    let bound = fixture
        .call(Method::PUT, "/v1/kv/role")
        .header("bilberrylatch-lease", id);
    assert_eq!(fixture.status(bound).await, 200);
    let watched = fixture.page("/v1/watch?after=1&timeout_ms=10000").await;
    assert!(watched.header.items[0].deleted);
    let renewed = fixture.call(Method::PUT, &format!("/v1/leases/{id}"));
    assert_eq!(fixture.status(renewed).await, 404);
}

#[tokio::test]
async fn reads_and_writes_have_separate_rate_limits() {
    let fixture = Fixture::new(Server::new()).await;
    fixture
        .set_faults(Faults {
            writes_per_s: 2,
            ..Faults::default()
        })
        .await;
    let mut statuses = Vec::new();
    for _ in 0..4 {
        statuses.push(fixture.status(fixture.call(Method::PUT, "/v1/kv/a")).await);
    }
    assert_eq!(statuses, [200, 200, 429, 429]);
    assert_eq!(fixture.status(fixture.call(Method::GET, "/v1/kv/a")).await, 200);
    assert_eq!(fixture.counts().await.limited, 2);
}
