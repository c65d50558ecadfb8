//! The log of chosen keys and a node's memory stay short, and what is still remembered survives that.

use base::Millis;
use claim::Reason;
use claim::ledger::{Limits, Usage};

use super::node::{Node, Service, Told};

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
const EVERY: Millis = Millis(5);
/// Claims in force: those of one retention time and of one sweep.
const CLAIMS_MAX: usize = 450;
/// Values in the service: the log, what waits for its deletion, and some in between.
const VALUES_MAX: usize = 100;
/// Bytes of an answer: half of those in force can be kept.
const BODY: usize = 20;
const ROUNDS: u64 = 4_000;

#[test]
fn log_and_memory_stay_short() {
    let mut service = Service::default();
    let mut writer = Node::new(1, LIMITS);
    for round in 0..ROUNDS {
        let wait = Millis(round * EVERY.0) - writer.now;
        writer.pass(&mut service, wait);
        let Told::Granted(call) = writer.want(&mut service, round, b"") else {
            panic!("a fresh key is refused in round {round}");
        };
        writer.dispatch(&mut service, round, call);
        writer.answer(&mut service, round, call, BODY);
        let Usage { claims, bytes, .. } = writer.ledger.usage();
        assert!(claims <= CLAIMS_MAX, "{claims} claims in round {round}");
        assert!(bytes <= LIMITS.bytes, "{bytes} bytes in round {round}");
        let values = service.kv.len();
        assert!(values <= VALUES_MAX, "{values} values in round {round}");
    }
    writer.pass(&mut service, EVERY);
    let mut reader = Node::new(2, LIMITS);
    let recent = ROUNDS - LIMITS.retention.0 / EVERY.0 / 4;
    assert_eq!(reader.want(&mut service, recent, b""), Told::Recorded(BODY));
    let oldest = ROUNDS - LIMITS.retention.0 / EVERY.0 + 10;
    let told = reader.want(&mut service, oldest, b"");
    assert_eq!(told, Told::Refused(Reason::RecordDropped), "a key that ran");
    let told = writer.want(&mut service, 0, b"");
    assert!(matches!(told, Told::Granted(_)), "an expired key is not free");
}
