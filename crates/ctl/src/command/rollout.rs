//! `rollout`: starts, shows, undoes or waits for a rollout.

use std::io::IsTerminal;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base::Name;
use indicatif::ProgressBar;
use reqwest::Method;
use rollout::{Id, Reason, Stage, Stored, Verdict, WallTime};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::app::create_client;
use crate::args::{self, RolloutAction};
use crate::output::Output;
use crate::{Client, Error};

/// Default of `--within-seconds`, and of `--timeout-seconds` for `rollout wait`.
const DEFAULT_WITHIN_SECONDS: u64 = 3600;

/// Default of `--watch-seconds`.
const DEFAULT_WATCH_SECONDS: u64 = 600;

/// Maximum attempts to submit a command to the controlling node.
const SUBMIT_ATTEMPTS: u32 = 40;

/// Interval between these attempts, and between polls of a rollout's state.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Answer to an accepted command.
#[derive(Debug, Deserialize, Serialize)]
struct Accepted {
    id: String,
}

/// Runs the given action.
pub async fn run(node: Option<&str>, output: Output, flags: args::Rollout) -> Result<(), Error> {
    let client = create_client(node)?;
    match flags.action {
        RolloutAction::Start => start(&client, output, flags).await,
        RolloutAction::Status => status(&client, output, &flags.endpoint).await,
        RolloutAction::Undo => undo(&client, output, flags).await,
        RolloutAction::Wait => wait(&client, output, flags).await,
    }
}

async fn start(client: &Client, output: Output, flags: args::Rollout) -> Result<(), Error> {
    let Some(to) = flags.to else {
        return Err(Error::Usage(
            "specify which version to move to: rollout start ENDPOINT VERSION".to_owned(),
        ));
    };
    let id = match flags.id {
        Some(id) => id,
        None => Id::new(now(), uuid::Uuid::new_v4().as_u64_pair().0).to_string(),
    };
    let body = json!({
        "id": id,
        "to": to,
        "from": flags.from,
        "within_seconds": flags.within_seconds.unwrap_or(DEFAULT_WITHIN_SECONDS),
        "watch_seconds": flags.watch_seconds.unwrap_or(DEFAULT_WATCH_SECONDS),
        "operator": operator_name(flags.operator),
    });
    let path = format!("/v1/admin/rollouts/{}", flags.endpoint);
    let accepted = submit(client, &path, &body.to_string()).await?;
    output.print_text(&format!("rollout {} started", accepted.id), &accepted);
    Ok(())
}

async fn undo(client: &Client, output: Output, flags: args::Rollout) -> Result<(), Error> {
    let Some(stored) = fetch(client, &flags.endpoint).await? else {
        return Err(Error::Usage(format!(
            "endpoint '{}' has no rollout",
            flags.endpoint
        )));
    };
    let id = stored.record.plan.id.to_string();
    let body = json!({"id": id, "operator": operator_name(flags.operator)});
    let path = format!("/v1/admin/rollouts/{}/undo", flags.endpoint);
    let accepted = submit(client, &path, &body.to_string()).await?;
    output.print_text(&format!("undo of rollout {} accepted", accepted.id), &accepted);
    Ok(())
}

/// Sends a command until the controlling node accepts it. Commands carry an id, so repeating them is safe.
async fn submit(client: &Client, path: &str, body: &str) -> Result<Accepted, Error> {
    let mut client = client.clone();
    let mut attempt = 1;
    loop {
        let error = match client.send(Method::POST, path, body.to_owned()).await {
            Ok(accepted) => return Ok(accepted),
            Err(error) => error,
        };
        match error {
            Error::Misdirected(Some(node)) => client = client.with_preferred(node),
            Error::Misdirected(None) | Error::Indeterminate(_) => {}
            Error::Refused { status, .. } if status == reqwest::StatusCode::SERVICE_UNAVAILABLE.as_u16() => {}
            error => return Err(error),
        }
        if attempt == SUBMIT_ATTEMPTS {
            return Err(Error::Timeout("no node accepted the command".to_owned()));
        }
        attempt += 1;
        sleep(POLL_INTERVAL).await;
    }
}

async fn fetch(client: &Client, endpoint: &str) -> Result<Option<Stored>, Error> {
    client.get(&format!("/v1/admin/rollouts/{endpoint}")).await
}

async fn status(client: &Client, output: Output, endpoint: &str) -> Result<(), Error> {
    let stored = fetch(client, endpoint).await?;
    let text = stored.as_ref().map_or_else(|| "no rollout".to_owned(), describe);
    output.print_text(&text, &stored);
    Ok(())
}

async fn wait(client: &Client, output: Output, flags: args::Rollout) -> Result<(), Error> {
    let spinner = if std::io::stderr().is_terminal() {
        ProgressBar::new_spinner()
    } else {
        ProgressBar::hidden()
    };
    spinner.enable_steady_tick(POLL_INTERVAL);
    let timeout = Duration::from_secs(flags.timeout_seconds.unwrap_or(DEFAULT_WITHIN_SECONDS));
    let deadline = Instant::now() + timeout;
    loop {
        let stored = fetch(client, &flags.endpoint).await;
        if let Ok(Some(stored)) = &stored {
            spinner.set_message(describe(stored));
            if let Some(verdict) = &stored.record.verdict {
                spinner.finish_and_clear();
                output.print_text(&describe(stored), stored);
                return check_verdict(verdict);
            }
        }
        if Instant::now() >= deadline {
            return Err(Error::Timeout("the rollout has not ended".to_owned()));
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Returns an error for an undone rollout, so that the exit code shows it to scripts.
fn check_verdict(verdict: &Verdict) -> Result<(), Error> {
    match verdict {
        Verdict::Done(_) => Ok(()),
        Verdict::Undone(reason) => Err(Error::Undone(explain(reason))),
    }
}

fn describe(stored: &Stored) -> String {
    let record = &stored.record;
    let plan = &record.plan;
    let state = match (&record.verdict, record.stage) {
        (Some(Verdict::Done(reason)), _) => format!("done: {}", explain(reason)),
        (Some(Verdict::Undone(reason)), _) => format!("undone: {}", explain(reason)),
        (None, Stage::Watching) => "all traffic moved, watching".to_owned(),
        (None, _) => format!("moving, share {}", stored.shares().default_share),
    };
    format!(
        "rollout {} of {} from {} to {} by '{}': {state}",
        plan.id, plan.endpoint, plan.from, plan.to, plan.operator
    )
}

fn explain(reason: &Reason) -> String {
    match reason {
        Reason::Moved { thin } if thin.is_empty() => "no evidence against the version".to_owned(),
        Reason::Moved { thin } => {
            let routes: Vec<&str> = thin.iter().map(Name::as_str).collect();
            format!(
                "no evidence against the version; little traffic on {}",
                routes.join(", ")
            )
        }
        Reason::Vetoed(veto) => {
            let route = veto.route.as_ref().map_or("the whole endpoint", Name::as_str);
            format!("version {} vetoed on {route}: {:?}", veto.version, veto.evidence)
        }
        Reason::Operator(operator) => format!("undo requested by operator '{operator}'"),
        Reason::Doubtful(route) => {
            format!("the evidence on {route} was still against the version after the deadline and the watch")
        }
    }
}

fn operator_name(flag: Option<String>) -> String {
    flag.or_else(|| std::env::var("USER").ok())
        .unwrap_or_else(|| "operator".to_owned())
}

fn now() -> WallTime {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    WallTime(elapsed.map_or(0, |elapsed| elapsed.as_millis() as u64))
}
