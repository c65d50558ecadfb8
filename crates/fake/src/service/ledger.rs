//! Accounts and the runs that changed them, without IO.

use bytes::Bytes;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::Run;

/// A top-up as it is asked for.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TopUp {
    /// Account to add to.
    pub account: String,
    /// Amount in pence.
    pub amount: i64,
}

/// The answer to a top-up or a balance check.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// Account asked for.
    pub account: String,
    /// Its balance in pence after the run.
    pub balance: i64,
    /// The run's number.
    pub run: u64,
}

/// The answer to any other request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Executed {
    /// The run's number.
    pub run: u64,
    /// Path of the request.
    pub path: String,
}

/// Balances and runs.
#[derive(Debug, Default)]
pub struct Ledger {
    balances: IndexMap<String, i64>,
    runs: Vec<Run>,
}

impl Ledger {
    /// Runs a request and records it; the answer's body, or `None` for a malformed top-up, which does not run.
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

    /// Runs after the first `after`.
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
