//! Tables of refusals and retries.
