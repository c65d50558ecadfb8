//! Client of the key-value service, used by the daemon and the command-line tool.

use std::sync::Arc;
use std::time::Duration;

use base::Revision;
use tokio::time::{sleep, timeout};

use crate::budget::{Budget, Kind};
use crate::retry::Policy;
use crate::{Backend, Changes, Error, Lease, Listing, Record, Write};

/// Makes calls with a timeout, retries and rate limits, and determines the outcome of writes whose response was lost.
/// Cheap to clone.
#[derive(Clone, Debug)]
pub struct Client {
    backend: Arc<dyn Backend>,
    budget: Arc<Budget>,
    policy: Policy,
}

impl Client {
    /// Creates a client of `backend` with the default budget and retry policy.
    pub fn new<B>(backend: B) -> Self
    where
        B: Backend + 'static,
    {
        Self {
            backend: Arc::new(backend),
            budget: Arc::new(Budget::default()),
            policy: Policy::default(),
        }
    }

    /// Replaces the budget.
    pub fn with_budget(mut self, budget: Budget) -> Self {
        self.budget = Arc::new(budget);
        self
    }

    /// Replaces the retry policy.
    pub fn with_retry_policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// The highest era that an answer has named; 0 if the service names none.
    pub fn era(&self) -> u64 {
        self.backend.eras().map_or(0, |eras| *eras.borrow())
    }

    /// Waits until an answer names a higher era than this one.
    pub async fn wait_for_era_above(&self, era: u64) {
        let Some(mut eras) = self.backend.eras() else {
            return std::future::pending().await;
        };
        if eras.wait_for(|latest| *latest > era).await.is_err() {
            // The backend is gone, and the client with it.
            std::future::pending::<()>().await;
        }
    }

    /// Reads a record.
    pub async fn get(&self, key: &str) -> Result<Option<Record>, Error> {
        self.read_with_retries(|| self.backend.get(key)).await
    }

    /// Reads all records under `prefix`, in pages.
    pub async fn list(&self, prefix: &str) -> Result<Listing, Error> {
        const PAGE_SIZE: usize = 500;
        let mut all: Option<Listing> = None;
        loop {
            let last = all.as_ref().and_then(|all| all.entries.last());
            let after = last.map_or(String::new(), |entry| entry.key.clone());
            let page = self
                .read_with_retries(|| self.backend.list(prefix, &after, PAGE_SIZE))
                .await?;
            let full_page = page.entries.len() >= PAGE_SIZE;
            // Keep the revision of the first page, so that a watch from it reports the changes made while paging.
            let listing = match all.take() {
                None => page,
                Some(first) => first.join(page)?,
            };
            if !full_page {
                return Ok(listing);
            }
            all = Some(listing);
        }
    }

    /// Makes a conditional write. If the response is lost, the record is read back to determine the outcome.
    ///
    /// Returns [`Error::Indeterminate`] only if the outcome remains unknown after that.
    pub async fn write(&self, write: &Write) -> Result<Revision, Error> {
        if let Some(value) = &write.value
            && value.len() > crate::VALUE_LIMIT_BYTES
        {
            return Err(Error::TooLarge(value.len()));
        }
        let mut answer_lost = false;
        let mut attempt = 1;
        loop {
            let result = self.write_once(write).await;
            match result {
                Ok(revision) => return Ok(revision),
                Err(Error::Indeterminate(cause)) => {
                    answer_lost = true;
                    match self.read_back(write).await {
                        Ok(Some(revision)) => return Ok(revision),
                        Ok(None) if attempt < self.policy.attempts => {}
                        Ok(None) | Err(_) => return Err(Error::Indeterminate(cause)),
                    }
                }
                // After a lost response the conflict may be with an earlier attempt of this same write.
                Err(Error::Conflict(current)) if answer_lost => {
                    return match self.read_back(write).await {
                        Ok(Some(revision)) => Ok(revision),
                        Ok(None) => Err(Error::Conflict(current)),
                        Err(error) => Err(Error::Indeterminate(error.to_string())),
                    };
                }
                Err(Error::Unavailable(cause)) if attempt >= self.policy.attempts => {
                    return Err(if answer_lost {
                        Error::Indeterminate(cause)
                    } else {
                        Error::Unavailable(cause)
                    });
                }
                Err(Error::Unavailable(_)) => {}
                Err(error) => return Err(error),
            }
            sleep(self.policy.delay(attempt)).await;
            attempt += 1;
        }
    }

    /// Makes a write once and does not read it back, for callers that determine the outcome themselves.
    pub async fn write_once(&self, write: &Write) -> Result<Revision, Error> {
        self.budget.charge(Kind::Write)?;
        match timeout(self.policy.timeout, self.backend.write(write)).await {
            Ok(result) => result,
            Err(_elapsed) => Err(Error::Indeterminate("no answer in time".to_owned())),
        }
    }

    /// Requests a new lease.
    pub async fn grant(&self, ttl: Duration) -> Result<Lease, Error> {
        self.budget.charge(Kind::Write)?;
        self.with_timeout(self.backend.grant(ttl)).await
    }

    /// Renews a lease.
    pub async fn renew(&self, lease: &Lease) -> Result<(), Error> {
        self.budget.charge(Kind::Write)?;
        self.with_timeout(self.backend.renew(lease)).await
    }

    /// Revokes a lease, which deletes the records bound to it.
    pub async fn revoke(&self, lease: &Lease) -> Result<(), Error> {
        self.budget.charge(Kind::Write)?;
        self.with_timeout(self.backend.revoke(lease)).await
    }

    /// Waits up to `wait` for changes under `prefix` after `revision`. A later era does not have its history.
    pub async fn watch(&self, prefix: &str, revision: Revision, wait: Duration) -> Result<Changes, Error> {
        self.budget.charge(Kind::Read)?;
        metrics::gauge!("bilberrylatch_platform_watches").increment(1.0);
        let call_timeout = wait + self.policy.timeout;
        let result = timeout(call_timeout, self.backend.watch(prefix, revision, wait)).await;
        metrics::gauge!("bilberrylatch_platform_watches").decrement(1.0);
        let watched =
            result.unwrap_or_else(|_elapsed| Err(Error::Unavailable("watch timed out".to_owned())))?;
        if watched.revision.era != revision.era {
            return Err(Error::HistoryGone);
        }
        Ok(watched)
    }

    /// Returns the revision of `write` if reading the record back shows that it took effect.
    async fn read_back(&self, write: &Write) -> Result<Option<Revision>, Error> {
        let record = self.get(&write.key).await?;
        let Some(record) = record else {
            // An absent record confirms a deletion, and shows that any other write has not taken effect yet.
            return Ok(write.value.is_none().then(Revision::default));
        };
        Ok((record.write_id == write.id).then_some(record.revision))
    }

    async fn read_with_retries<F, Fut, T>(&self, call: F) -> Result<T, Error>
    where
        F: Fn() -> Fut,
        Fut: Future<Output = Result<T, Error>>,
    {
        let mut attempt = 1;
        loop {
            self.budget.charge(Kind::Read)?;
            let error = match self.with_timeout(call()).await {
                Ok(value) => return Ok(value),
                Err(error) => error,
            };
            if attempt >= self.policy.attempts || !matches!(error, Error::Unavailable(_)) {
                return Err(error);
            }
            sleep(self.policy.delay(attempt)).await;
            attempt += 1;
        }
    }

    async fn with_timeout<Fut, T>(&self, call: Fut) -> Result<T, Error>
    where
        Fut: Future<Output = Result<T, Error>>,
    {
        match timeout(self.policy.timeout, call).await {
            Ok(result) => result,
            Err(_elapsed) => Err(Error::Unavailable("no answer in time".to_owned())),
        }
    }
}
