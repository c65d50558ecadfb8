//! The log and the memory of a node stay within their limits, and claims within the retention time survive trimming.

use base::Millis;
use claim::Reason;
use claim::ledger::{Limits, Usage};

use super::node::{Node, Reply, Service};

const LIMITS: Limits = Limits {
    shards: 1,
    retention: Millis(2_000),
    delete_after: Millis(60),
    base_valid: Millis(20),
    claim_timeout: Millis(30),
    dispatch_timeout: Millis(50),
    write_interval: Millis(5),
    linger: Millis(2),
    backoff: Millis(2),
    backoff_max: Millis(8),
    idle_timeout: Millis(100_000),
    claims: 600,
    waiting_calls: 8,
    waiters: 3,
    bytes: 4_000,
    record_bytes: 24,
    batch_bytes: 2_000,
    log_length: 32,
    read_ahead: 3,
};
/// Time between two claims.
const CLAIM_INTERVAL: Millis = Millis(5);
/// Maximum number of claims: those of one retention time and of one sweep interval.
const MAX_CLAIMS: usize = 450;
/// Maximum number of values in the service: the log, values that wait for deletion, and a margin.
const MAX_VALUES: usize = 100;
/// Size of a response; half of those of the current claims can be kept.
const BODY_BYTES: usize = 20;
const ROUNDS: u64 = 4_000;

#[test]
fn log_and_memory_stay_within_bounds() {
    let mut service = Service::default();
    let mut writer = Node::new(1, LIMITS);
    for round in 0..ROUNDS {
        let wait = Millis(round * CLAIM_INTERVAL.0) - writer.now;
        writer.advance(&mut service, wait);
        let Reply::Granted(call) = writer.request(&mut service, round, b"") else {
            panic!("an unused key was refused in round {round}");
        };
        writer.dispatch(&mut service, round, call);
        writer.answer(&mut service, round, call, BODY_BYTES);
        let Usage { claims, bytes, .. } = writer.ledger.usage();
        assert!(claims <= MAX_CLAIMS, "{claims} claims in round {round}");
        assert!(bytes <= LIMITS.bytes, "{bytes} bytes in round {round}");
        let values = service.kv.len();
        assert!(values <= MAX_VALUES, "{values} values in round {round}");
    }
    writer.advance(&mut service, CLAIM_INTERVAL);
    let mut reader = Node::new(2, LIMITS);
    let recent = ROUNDS - LIMITS.retention.0 / CLAIM_INTERVAL.0 / 4;
    assert_eq!(
        reader.request(&mut service, recent, b""),
        Reply::Recorded(BODY_BYTES)
    );
    let oldest = ROUNDS - LIMITS.retention.0 / CLAIM_INTERVAL.0 + 10;
    let reply = reader.request(&mut service, oldest, b"");
    assert_eq!(
        reply,
        Reply::Refused(Reason::RecordDropped),
        "a key that ran must stay claimed"
    );
    let reply = writer.request(&mut service, 0, b"");
    assert!(matches!(reply, Reply::Granted(_)), "an expired key must be free");
}
