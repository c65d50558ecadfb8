//! Scenarios of chosen keys: repeats, outages, lost answers, and claims and results that are written late.

use base::Millis;
use claim::Reason;
use claim::ledger::Limits;

use super::node::{Mode, Node, Reply, Service};

/// A single shard, so that a claim of any key implies that the whole log was read.
const LIMITS: Limits = Limits {
    shards: 1,
    retention: Millis::from_secs(3_600),
    delete_after: Millis::from_secs(60),
    base_valid: Millis::from_secs(20),
    claim_timeout: Millis(500),
    dispatch_timeout: Millis::from_secs(30),
    write_interval: Millis(50),
    linger: Millis(100),
    backoff: Millis(50),
    backoff_max: Millis::from_secs(2),
    idle_timeout: Millis::from_secs(600),
    claims: 100,
    waiting_calls: 100,
    waiters: 10,
    bytes: 10_000,
    record_bytes: 1_000,
    batch_bytes: 10_000,
    log_length: 100,
    read_ahead: 8,
};
const KEY: u64 = 1;
const OTHER_KEY: u64 = 2;

#[test]
fn repeats_join_the_first_run() {
    let (mut service, mut first, mut second) = setup();
    let call = granted(first.request(&mut service, KEY, b"a"));
    assert_eq!(first.request(&mut service, KEY, b"a"), Reply::Joined);
    assert_eq!(
        first.request(&mut service, KEY, b"b"),
        Reply::Refused(Reason::Mismatch)
    );
    assert_eq!(second.request(&mut service, KEY, b"a"), Reply::ClaimedElsewhere);
    assert!(first.dispatch(&mut service, KEY, call));
    assert!(
        !first.dispatch(&mut service, KEY, call),
        "a second dispatch was granted"
    );
    first.answer(&mut service, KEY, call, 7);
    assert_eq!(first.request(&mut service, KEY, b"a"), Reply::Recorded(7));
    first.advance(&mut service, LIMITS.linger + Millis(100));
    // Another claim makes the second node read the rest of the log.
    granted(second.request(&mut service, OTHER_KEY, b""));
    assert_eq!(second.request(&mut service, KEY, b"a"), Reply::Recorded(7));
    assert_eq!(
        second.request(&mut service, KEY, b"b"),
        Reply::Refused(Reason::Mismatch)
    );
}

#[test]
fn an_outage_refuses_new_keys_at_once_and_replays_recorded_answers() {
    let (mut service, mut node, _) = setup();
    let call = granted(node.request(&mut service, KEY, b""));
    node.dispatch(&mut service, KEY, call);
    node.answer(&mut service, KEY, call, 7);
    node.advance(&mut service, Millis(200));
    service.mode = Mode::Down;
    let start = node.now;
    assert_eq!(
        node.request(&mut service, OTHER_KEY, b""),
        Reply::Refused(Reason::StoreUnavailable)
    );
    assert_eq!(
        node.request(&mut service, OTHER_KEY, b""),
        Reply::Refused(Reason::StoreUnavailable)
    );
    assert_eq!(node.request(&mut service, KEY, b""), Reply::Recorded(7));
    assert_eq!(node.now, start, "a call had to wait");
    service.mode = Mode::Up;
    node.advance(&mut service, LIMITS.backoff_max);
    granted(node.request(&mut service, OTHER_KEY, b""));
}

#[test]
fn a_claim_written_after_its_timeout_is_released_and_never_run() {
    let (mut service, mut first, mut second) = setup();
    granted(first.request(&mut service, OTHER_KEY, b""));
    first.advance(&mut service, Millis(100));
    service.mode = Mode::Delaying;
    let reply = first.request(&mut service, KEY, b"");
    assert!(
        matches!(
            reply,
            Reply::Refused(Reason::ClaimTimeout | Reason::StoreUnavailable)
        ),
        "{reply:?}"
    );
    service.mode = Mode::Up;
    service.apply_delayed();
    // Before the release is written, other nodes find the claim and must not run.
    assert_eq!(second.request(&mut service, KEY, b""), Reply::ClaimedElsewhere);
    first.advance(&mut service, LIMITS.backoff_max + Millis(200));
    granted(second.request(&mut service, 3, b""));
    granted(second.request(&mut service, KEY, b""));
}

#[test]
fn a_claim_written_after_its_timeout_can_be_claimed_again_by_its_node() {
    let (mut service, mut first, mut second) = setup();
    granted(first.request(&mut service, OTHER_KEY, b""));
    first.advance(&mut service, Millis(100));
    service.mode = Mode::Delaying;
    first.request(&mut service, KEY, b"");
    service.mode = Mode::Up;
    service.apply_delayed();
    // The claim has been read, but its release is not yet written.
    first.advance(&mut service, LIMITS.backoff + Millis(10));
    let call = granted(first.request(&mut service, KEY, b""));
    assert!(first.dispatch(&mut service, KEY, call));
    first.advance(&mut service, Millis(500));
    assert_eq!(second.request(&mut service, KEY, b""), Reply::ClaimedElsewhere);
}

#[test]
fn a_late_result_does_not_complete_a_newer_claim() {
    let limits = Limits {
        retention: Millis(1_000),
        ..LIMITS
    };
    let (mut service, mut first, mut second) =
        (Service::default(), Node::new(1, limits), Node::new(2, limits));
    let old = granted(first.request(&mut service, KEY, b""));
    assert!(first.dispatch(&mut service, KEY, old));
    assert_eq!(second.request(&mut service, KEY, b""), Reply::ClaimedElsewhere);
    second.advance(&mut service, limits.retention);
    let new = granted(second.request(&mut service, KEY, b""));
    assert!(second.dispatch(&mut service, KEY, new));
    first.answer(&mut service, KEY, old, 7);
    first.advance(&mut service, Millis(500));
    granted(second.request(&mut service, OTHER_KEY, b""));
    assert_eq!(second.request(&mut service, KEY, b""), Reply::Joined);
    second.answer(&mut service, KEY, new, 8);
    assert_eq!(second.request(&mut service, KEY, b""), Reply::Recorded(8));
}

fn setup() -> (Service, Node, Node) {
    (Service::default(), Node::new(1, LIMITS), Node::new(2, LIMITS))
}

fn granted(reply: Reply) -> claim::Call {
    let Reply::Granted(call) = reply else {
        panic!("expected a grant, got {reply:?}");
    };
    call
}
