//! Datagrams that could not be decoded, by sender.

use std::net::SocketAddr;

use base::Millis;
use indexmap::IndexMap;

/// Interval between two log lines about a sender.
const LOG_INTERVAL: Millis = Millis(60_000);
/// Maximum number of senders remembered.
const MAX_SENDERS: usize = 256;

/// Decides when an undecodable datagram is logged.
///
/// Load pattern: a node of another build sends what this one does not understand, many times a second.
#[derive(Clone, Debug, Default)]
pub struct Invalid {
    /// When each sender was last logged, and its datagrams since.
    senders: IndexMap<SocketAddr, (Millis, u64)>,
}

impl Invalid {
    /// Records a datagram. If it is to be logged, returns the number of datagrams of the sender since the last time, this one
    /// included.
    pub fn record(&mut self, now: Millis, sender: SocketAddr) -> Option<u64> {
        if let Some((logged_at, count)) = self.senders.get_mut(&sender) {
            *count += 1;
            if now.since(*logged_at) < LOG_INTERVAL {
                return None;
            }
            *logged_at = now;
            return Some(std::mem::take(count));
        }
        if self.senders.len() == MAX_SENDERS {
            self.senders
                .retain(|_, (logged_at, _)| now.since(*logged_at) < LOG_INTERVAL);
        }
        // Not logged, so that senders with ever new addresses can't fill the log.
        if self.senders.len() == MAX_SENDERS {
            return None;
        }
        self.senders.insert(sender, (now, 0));
        Some(1)
    }
}
