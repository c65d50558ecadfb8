//! Choice of replica, concurrency limits, fair queues, retries and load shedding.
