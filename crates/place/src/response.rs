//! Whether a response belongs to the request that it was read for.

/// The request id on a response.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Echo {
    /// That of the request.
    Own,
    /// Another one, or more than one.
    Other,
    /// None.
    #[default]
    Missing,
}

/// What the head of a response says of the request that it was read for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Claim {
    /// It is the response to the request, which has run or is running.
    Response,
    /// It is the response to the request, which has not run.
    NotRun,
    /// It belongs to another request, or to none. The request may be running.
    Foreign,
}

impl Claim {
    /// Returns what a response says by its id and by whether it reports that its request did not run.
    ///
    /// Load pattern: a replica in trouble writes a response once more on a kept connection, where the next one is expected. Only
    /// the id tells, and a late refusal says nothing of the request that has just been sent.
    pub const fn new(echo: Echo, reports_not_run: bool) -> Self {
        match echo {
            Echo::Own if reports_not_run => Self::NotRun,
            Echo::Own => Self::Response,
            Echo::Other | Echo::Missing => Self::Foreign,
        }
    }
}

/// Whether a status is one of HTTP, whose last class is 5xx. A response with another one is no answer.
pub const fn is_status(status: u16) -> bool {
    matches!(status, 100..=599)
}
