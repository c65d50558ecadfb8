//! Tests of the fake cloud over HTTP: lag, notices, reclaims and starts.

use std::net::SocketAddr;
use std::time::Duration;

use base::Millis;
use fake::cloud::faults::Refusal;
use fake::cloud::server::Template;
use fake::cloud::vm::State;
use fake::cloud::{Faults, Notice, Server, Start, Vm};
use fake::{Handle, service};
use reqwest::{Client, Response};
use serde_json::json;

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

    fn url(&self, path: &str) -> String {
        format!("{}{path}", self.handle.url())
    }

    async fn list(&self) -> Vec<Vm> {
        self.client
            .get(self.url("/v1/vms"))
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap()
    }

    async fn notices(&self, after: u64) -> Vec<Notice> {
        let path = format!("/v1/notices?after={after}&timeout_ms=10000");
        self.client
            .get(self.url(&path))
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap()
    }

    async fn reclaim(&self, zone: &str, notice_ms: u64) {
        let path = format!("/admin/zones/{zone}/reclaim");
        let request = self
            .client
            .post(self.url(&path))
            .json(&json!({"notice_ms": notice_ms}));
        assert_eq!(request.send().await.unwrap().status(), 204);
    }

    async fn start(&self, start: &Start) -> Response {
        self.client
            .post(self.url("/v1/vms"))
            .json(start)
            .send()
            .await
            .unwrap()
    }
}

fn vm(id: &str, zone: &str, reclaimable: bool) -> Vm {
    Vm {
        id: id.to_owned(),
        zone: zone.to_owned(),
        reclaimable,
        ..Vm::default()
    }
}

fn server() -> Server {
    Server::new()
        .with_vm(vm("a", "north", true))
        .with_vm(vm("b", "north", false))
        .with_vm(vm("c", "south", true))
}

#[tokio::test]
async fn zone_reclaim_issues_notices_then_removes_vms() {
    let fixture = Fixture::new(server()).await;
    let (notices, ()) = tokio::join!(fixture.notices(0), fixture.reclaim("north", 60_000));
    assert_eq!(
        notices
            .iter()
            .map(|notice| notice.vm.as_str())
            .collect::<Vec<_>>(),
        ["a"]
    );
    assert!(notices[0].remaining_ms > 50_000);
    let leaving = fixture
        .list()
        .await
        .into_iter()
        .filter(|vm| vm.state == State::Leaving);
    assert_eq!(leaving.map(|vm| vm.id).collect::<Vec<_>>(), ["a"]);
    // A second notice brings the deadline forward.
    fixture.reclaim("north", 0).await;
    assert_eq!(fixture.notices(1).await.len(), 1);
    while fixture.list().await.len() > 2 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

#[tokio::test]
async fn vm_list_lags_behind_notices() {
    let fixture = Fixture::new(server().with_lag(Millis(100_000))).await;
    fixture.reclaim("south", 60_000).await;
    assert_eq!(fixture.notices(0).await.len(), 1);
    let states = |vms: Vec<Vm>| vms.into_iter().map(|vm| vm.state).collect::<Vec<_>>();
    assert_eq!(states(fixture.list().await), [State::Live; 3]);
    let faults = Faults {
        lag_ms: Some(0),
        ..Faults::default()
    };
    fixture
        .client
        .put(fixture.url("/admin/faults"))
        .json(&faults)
        .send()
        .await
        .unwrap();
    assert_eq!(
        states(fixture.list().await),
        [State::Live, State::Live, State::Leaving]
    );
}

#[tokio::test]
async fn configured_starts_are_refused() {
    struct Case {
        endpoint: &'static str,
        zone: &'static str,
        class: &'static str,
        status: u16,
    }
    let cases = [
        Case {
            endpoint: "cyfrif",
            zone: "north",
            class: "small",
            status: 201,
        },
        Case {
            endpoint: "cyfrif",
            zone: "south",
            class: "small",
            status: 503,
        },
        Case {
            endpoint: "cyfrif",
            zone: "north",
            class: "large",
            status: 409,
        },
        Case {
            endpoint: "other",
            zone: "north",
            class: "small",
            status: 404,
        },
    ];
    let template = Template::Service(service::Server::new());
    let fixture = Fixture::new(Server::new().with_template("cyfrif", template)).await;
    let south = Refusal {
        zone: Some("south".to_owned()),
        ..Refusal::default()
    };
    let large = Refusal {
        class: Some("large".to_owned()),
        status: 409,
        ..Refusal::default()
    };
    let faults = Faults {
        refuse_starts: vec![south, large],
        ..Faults::default()
    };
    fixture
        .client
        .put(fixture.url("/admin/faults"))
        .json(&faults)
        .send()
        .await
        .unwrap();
    for case in cases {
        let start = Start {
            endpoint: case.endpoint.to_owned(),
            zone: case.zone.to_owned(),
            class: case.class.to_owned(),
            version: "v2".to_owned(),
            ..Start::default()
        };
        assert_eq!(fixture.start(&start).await.status(), case.status);
    }
}

#[tokio::test]
async fn started_vm_serves_until_stopped() {
    let template = Template::Service(service::Server::new());
    let fixture = Fixture::new(
        Server::new()
            .with_template("cyfrif", template)
            .with_boot_time(Millis(30)),
    )
    .await;
    let start = Start {
        endpoint: "cyfrif".to_owned(),
        version: "v2".to_owned(),
        ..Start::default()
    };
    let vm = fixture.start(&start).await.json::<Vm>().await.unwrap();
    while fixture.list().await.is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let balance = format!("http://{}/balance/x", vm.addr);
    let answer = fixture.client.get(&balance).send().await.unwrap();
    assert_eq!(answer.headers()["bilberrylatch-version"], "v2");
    let stopped = fixture
        .client
        .delete(fixture.url(&format!("/v1/vms/{}", vm.id)))
        .send()
        .await
        .unwrap();
    assert_eq!(stopped.status(), 204);
    while fixture.client.get(&balance).send().await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert!(fixture.list().await.is_empty());
}
