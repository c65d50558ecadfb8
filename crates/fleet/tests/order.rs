//! When replicas are ordered again.

use base::Millis;
use fleet::Order;

const BOOT_TIME: Millis = Millis(4_000);

struct Case {
    name: &'static str,
    accepted: Option<u32>,
    seen: u32,
    /// Time since the order.
    age: Millis,
    have: u32,
    want: u32,
    is_due: bool,
}

const CASES: [Case; 9] = [
    Case {
        name: "replicas boot",
        accepted: Some(13),
        seen: 0,
        age: Millis(2_000),
        have: 0,
        want: 13,
        is_due: false,
    },
    Case {
        name: "the order had no effect",
        accepted: Some(13),
        seen: 0,
        age: Millis(7_000),
        have: 0,
        want: 13,
        is_due: true,
    },
    Case {
        name: "replicas are there",
        accepted: Some(13),
        seen: 13,
        age: Millis(7_000),
        have: 13,
        want: 13,
        is_due: false,
    },
    Case {
        name: "the zone was reclaimed soon after the order",
        accepted: Some(13),
        seen: 13,
        age: Millis(3_400),
        have: 0,
        want: 13,
        is_due: true,
    },
    Case {
        name: "some replicas crashed",
        accepted: Some(13),
        seen: 13,
        age: Millis(3_400),
        have: 11,
        want: 13,
        is_due: true,
    },
    Case {
        name: "replicas drain after an order for fewer",
        accepted: Some(13),
        seen: 45,
        age: Millis(1_000),
        have: 30,
        want: 13,
        is_due: false,
    },
    Case {
        name: "another number is wanted",
        accepted: Some(13),
        seen: 13,
        age: Millis(1_000),
        have: 13,
        want: 20,
        is_due: true,
    },
    Case {
        name: "the order was rejected",
        accepted: None,
        seen: 0,
        age: Millis(1_000),
        have: 0,
        want: 13,
        is_due: true,
    },
    Case {
        name: "the order was rejected, and there are enough",
        accepted: None,
        seen: 13,
        age: Millis(1_000),
        have: 13,
        want: 13,
        is_due: false,
    },
];

#[test]
fn orders_are_repeated_when_needed() {
    let sent_at = Millis(100_000);
    for case in &CASES {
        let order = Order {
            accepted: case.accepted,
            seen: case.seen,
            sent_at,
            not_before: sent_at,
            sold_out_at: None,
        };
        let is_due = order.is_due(sent_at + case.age, case.have, case.want, BOOT_TIME);
        assert_eq!(is_due, case.is_due, "{}", case.name);
    }
}

#[test]
fn failed_order_is_not_repeated_before_its_delay() {
    let order = Order {
        accepted: None,
        seen: 0,
        sent_at: Millis(1_000),
        not_before: Millis(3_000),
        sold_out_at: Some(Millis(1_000)),
    };
    assert!(!order.is_due(Millis(2_900), 0, 13, BOOT_TIME));
    assert!(order.is_due(Millis(3_000), 0, 13, BOOT_TIME));
}

#[test]
fn replicas_of_a_rollout_are_dropped() {
    struct Case {
        name: &'static str,
        have: u32,
        want: u32,
        is_rolling_out: bool,
        is_allowed: bool,
    }
    let base = Case {
        name: "fewer replicas are needed",
        have: 3,
        want: 0,
        is_rolling_out: false,
        is_allowed: true,
    };
    let cases = [
        Case { ..base },
        Case {
            name: "new replicas stand beside the old ones",
            is_rolling_out: true,
            is_allowed: false,
            ..base
        },
        Case {
            name: "more new replicas may be on their way than are seen",
            want: 3,
            is_rolling_out: true,
            is_allowed: false,
            ..base
        },
        Case {
            name: "replicas were lost",
            want: 7,
            is_rolling_out: true,
            ..base
        },
    ];
    for case in cases {
        let is_allowed = Order::is_allowed(case.have, case.want, case.is_rolling_out);
        assert_eq!(is_allowed, case.is_allowed, "{}", case.name);
    }
}
