//! Tests of the fake service over HTTP: the effect of each fault on the run and on the response.

use std::net::SocketAddr;
use std::time::Duration;

use base::Millis;
use fake::Handle;
use fake::fault::{Effect, Faults, Regression, Trigger};
use fake::replica::orders::Fencing;
use fake::replica::{Load, Run};
use fake::service::Server;
use fake::service::ledger::{Answer, TopUp};
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

    async fn top_up(&self, dispatch: &str) -> reqwest::Result<Response> {
        let top_up = TopUp {
            account: "pupil-1".to_owned(),
            amount: 250,
        };
        let request = self
            .client
            .post(self.url("/topup"))
            .json(&top_up)
            .header("bilberrylatch-dispatch", dispatch);
        request.header("bilberrylatch-key", "key-1").send().await
    }

    async fn runs(&self) -> Vec<Run> {
        self.client
            .get(self.url("/admin/runs"))
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap()
    }

    async fn order(&self, fencing: u64, version: &str) -> u16 {
        let action = json!({"kind": "load-version", "version": version});
        let request = self
            .client
            .post(self.url("/v1/orders"))
            .json(&json!({"fencing": fencing, "action": action}));
        request.send().await.unwrap().status().as_u16()
    }

    async fn load(&self) -> Load {
        self.client
            .get(self.url("/v1/load"))
            .send()
            .await
            .unwrap()
            .json()
            .await
            .unwrap()
    }
}

const ONCE: Trigger = Trigger::next(1);

#[derive(Debug, PartialEq)]
enum Outcome {
    Complete,
    Status(u16),
    Reset,
    OtherDispatch(String),
    Malformed,
}

struct Case {
    configure: fn(&mut Faults),
    runs: usize,
    outcome: Outcome,
}

fn regression(effect: Effect) -> Regression {
    Regression {
        effect,
        version: Some("v1".to_owned()),
        after_requests: 0,
        over_load: 0,
        route: "/topup".to_owned(),
    }
}

fn cases() -> Vec<Case> {
    let case = |runs, outcome, configure| Case {
        configure,
        runs,
        outcome,
    };
    let other = |dispatch: &str| Outcome::OtherDispatch(dispatch.to_owned());
    vec![
        case(1, Outcome::Complete, |_| ()),
        case(1, Outcome::Complete, |faults| faults.slow_ms = 5),
        case(1, Outcome::Complete, |faults| faults.freeze_ms = 20),
        case(1, Outcome::Complete, |faults| faults.late = ONCE),
        case(0, Outcome::Status(503), |faults| faults.fail_before = ONCE),
        case(1, Outcome::Status(503), |faults| faults.fail_after = ONCE),
        case(0, Outcome::Status(503), |faults| faults.reject = ONCE),
        case(0, Outcome::Reset, |faults| faults.reset_before = ONCE),
        case(1, Outcome::Reset, |faults| faults.reset_after = ONCE),
        case(1, other("00000000-0000-0000-0000-000000000000"), |faults| {
            faults.wrong_dispatch = ONCE;
        }),
        case(1, other("before"), |faults| faults.crossed = ONCE),
        case(1, Outcome::Malformed, |faults| faults.duplicate = ONCE),
        case(1, Outcome::Reset, |faults| faults.truncate = ONCE),
        case(1, Outcome::Reset, |faults| faults.cut = ONCE),
        case(0, Outcome::Status(500), |faults| {
            faults.regression = Some(regression(Effect::Fail(500)));
        }),
        case(1, Outcome::Complete, |faults| {
            faults.regression = Some(regression(Effect::Slow(5)));
        }),
    ]
}

async fn classify(answer: reqwest::Result<Response>) -> Outcome {
    let Ok(response) = answer else {
        return Outcome::Reset;
    };
    if response.status() != 200 {
        let headers = response.headers();
        assert_eq!(headers["bilberrylatch-dispatch"], "mine");
        assert_eq!(
            headers.contains_key("retry-after"),
            headers.contains_key("bilberrylatch-outcome")
        );
        return Outcome::Status(response.status().as_u16());
    }
    let dispatch = response.headers()["bilberrylatch-dispatch"]
        .to_str()
        .unwrap()
        .to_owned();
    if dispatch != "mine" {
        return Outcome::OtherDispatch(dispatch);
    }
    let Ok(body) = response.bytes().await else {
        return Outcome::Reset;
    };
    match serde_json::from_slice::<Answer>(&body) {
        Ok(answer) if answer.balance == 500 => Outcome::Complete,
        Ok(_) | Err(_) => Outcome::Malformed,
    }
}

#[tokio::test]
async fn faults_change_runs_and_answers() {
    for (index, case) in cases().into_iter().enumerate() {
        let fixture = Fixture::new(Server::new()).await;
        fixture.top_up("before").await.unwrap();
        let mut faults = Faults {
            late_ms: 20,
            ..Faults::default()
        };
        (case.configure)(&mut faults);
        let response = fixture
            .client
            .put(fixture.url("/admin/faults"))
            .json(&faults)
            .send()
            .await
            .unwrap();
        assert_eq!(response.status(), 204);
        assert_eq!(
            classify(fixture.top_up("mine").await).await,
            case.outcome,
            "case {index}"
        );
        let runs = fixture.runs().await;
        let own_runs = runs
            .iter()
            .filter(|run| run.dispatch.as_deref() == Some("mine"))
            .collect::<Vec<_>>();
        assert_eq!(own_runs.len(), case.runs, "case {index}");
        assert!(
            own_runs
                .iter()
                .all(|run| run.key.as_deref() == Some("key-1") && run.path == "/topup")
        );
    }
}

#[test]
fn regression_applies_only_if_all_conditions_hold() {
    struct Case {
        after: u64,
        over: u64,
        route: &'static str,
        version: Option<&'static str>,
        applies: bool,
    }
    let case = |after, over, route, version, applies| Case {
        after,
        over,
        route,
        version,
        applies,
    };
    let cases = [
        case(0, 0, "", None, true),
        case(5, 2, "/topup", Some("v2"), true),
        case(6, 0, "", None, false),
        case(0, 3, "", None, false),
        case(0, 0, "/balance", None, false),
        case(0, 0, "", Some("v1"), false),
    ];
    let conditions = fake::fault::regression::Conditions {
        version: "v2",
        path: "/topup",
        requests: 5,
        in_flight: 3,
    };
    for case in cases {
        let regression = Regression {
            effect: Effect::Fail(500),
            version: case.version.map(str::to_owned),
            after_requests: case.after,
            over_load: case.over,
            route: case.route.to_owned(),
        };
        assert_eq!(regression.applies(conditions), case.applies);
    }
}

#[tokio::test]
async fn fencing_is_checked_or_ignored() {
    struct Case {
        fencing: Fencing,
        second_status: u16,
        version: &'static str,
    }
    let cases = [
        Case {
            fencing: Fencing::Checked,
            second_status: 409,
            version: "v2",
        },
        Case {
            fencing: Fencing::Ignored,
            second_status: 202,
            version: "v3",
        },
    ];
    for case in cases {
        let fixture = Fixture::new(Server::new().with_fencing(case.fencing)).await;
        assert_eq!(fixture.order(7, "v2").await, 202);
        assert_eq!(fixture.order(6, "v3").await, case.second_status);
        let answer = fixture.top_up("d").await.unwrap();
        assert_eq!(answer.headers()["bilberrylatch-version"], case.version);
    }
}

#[tokio::test]
async fn admin_calls_are_not_recorded_as_runs() {
    let fixture = Fixture::new(Server::new()).await;
    for path in [
        "/admin/runs",
        "/admin/orders",
        "/admin/faults",
        "/admin/counts",
        "/v1/load",
    ] {
        fixture.client.get(fixture.url(path)).send().await.unwrap();
    }
    assert!(fixture.runs().await.is_empty());
}

#[tokio::test]
async fn load_reports_lag() {
    let server = Server::new().with_capacity(1).with_work_time(Millis(400));
    let fixture = Fixture::new(server.clone()).await;
    let lagging = Fixture::new(server.with_lag(Millis(100_000))).await;
    let check_reports = async {
        tokio::time::sleep(Duration::from_millis(200)).await;
        let [now, late] = [fixture.load().await, lagging.load().await];
        assert_eq!((now.running, now.queued, now.capacity), (1, 1, 1));
        assert_eq!((late.running, late.queued), (0, 0));
    };
    let answers = tokio::join!(
        fixture.top_up("1"),
        fixture.top_up("2"),
        lagging.top_up("1"),
        check_reports
    );
    assert!(answers.0.is_ok() && answers.1.is_ok() && answers.2.is_ok());
}
