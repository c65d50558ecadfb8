//! Log lines about datagrams that could not be decoded.

use std::net::SocketAddr;

use base::Millis;
use entry::peers::Invalid;

fn sender(number: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], number))
}

#[test]
fn sender_is_logged_once_a_minute() {
    let mut invalid = Invalid::default();
    let mut logged = Vec::new();
    for now in (0..150_000).step_by(50) {
        logged.extend(invalid.record(Millis(now), sender(1)).map(|count| (now, count)));
    }
    assert_eq!(logged, [(0, 1), (60_000, 1_200), (120_000, 1_200)]);
    assert_eq!(invalid.record(Millis(60_010), sender(2)), Some(1));
}

#[test]
fn senders_with_new_addresses_fill_the_log() {
    let mut invalid = Invalid::default();
    let logged = (0..10_000).filter(|number| {
        invalid
            .record(Millis(u64::from(*number)), sender(*number))
            .is_some()
    });
    assert_eq!(logged.count(), 256);
    assert!(invalid.record(Millis(80_000), sender(20_000)).is_some());
}
