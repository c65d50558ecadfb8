//! Account balances and the log of runs, independent of I/O.

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Run;

/// Body of a top-up request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopUp {
    /// Account to credit.
    pub account: String,
    /// Amount in pence.
    pub amount: i64,
}

/// Response to a top-up or a balance query.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Account of the request.
    pub account: String,
    /// Balance of the account in pence after the run.
    pub balance: i64,
    /// Number of the run.
    pub run: u64,
}

/// Response to any other request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executed {
    /// Number of the run.
    pub run: u64,
    /// Path of the request.
    pub path: String,
}

/// Account balances and the log of runs.
#[derive(Debug, Default)]
pub struct Ledger {
    balances: IndexMap<String, i64>,
    runs: Vec<Run>,
}

impl Ledger {
    /// Runs and records a request and returns the response body.
    /// Returns `None` for a malformed top-up, which does not run.
    pub fn run(&mut self, run: Run, body: &Bytes) -> Option<Bytes> {
        let top_up = match run.path.as_str() {
            "/topup" => Some(serde_json::from_slice::<TopUp>(body).ok()?),
            _ => None,
        };
        let number = self.runs.len() as u64 + 1;
        let path = run.path.clone();
        self.runs.push(Run { number, ..run });
        if let Some(top_up) = top_up {
            *self.balances.entry(top_up.account.clone()).or_default() += top_up.amount;
            return self.answer(&top_up.account, number);
        }
        match path.strip_prefix("/balance/") {
            Some(account) => self.answer(account, number),
            None => json(&Executed { run: number, path }),
        }
    }

    /// Returns the runs after the first `after` runs.
    pub fn runs(&self, after: u64) -> &[Run] {
        self.runs.get(after as usize..).unwrap_or_default()
    }

    fn answer(&self, account: &str, run: u64) -> Option<Bytes> {
        json(&Answer {
            account: account.to_owned(),
            balance: self.balances.get(account).copied().unwrap_or_default(),
            run,
        })
    }
}

fn json<T>(value: &T) -> Option<Bytes>
where
    T: Serialize,
{
    serde_json::to_vec(value).ok().map(Bytes::from)
}
