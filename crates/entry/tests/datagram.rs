//! Datagrams between nodes of different builds.

use std::sync::Arc;

use base::Millis;
use entry::peers::{Datagram, Scope, Unreachable};
use place::PeerLoad;
use relay::Uptime;
use serde::{Deserialize, Serialize};

/// The datagram of builds that send no uptime.
#[derive(Debug, PartialEq, Serialize, Deserialize)]
struct Earlier {
    from: u64,
    number: u64,
    scope: Scope,
    used: Vec<(Arc<str>, u64)>,
    loads: Vec<(Arc<str>, Vec<PeerLoad>)>,
    unreachable: Vec<Unreachable>,
}

fn earlier() -> Earlier {
    let endpoint: Arc<str> = Arc::from("ledger");
    Earlier {
        from: 7,
        number: 300,
        scope: Scope::Node,
        used: vec![(Arc::from("tills"), 12_000)],
        loads: vec![(
            Arc::clone(&endpoint),
            vec![PeerLoad {
                replica: 9,
                in_flight: 2,
                unread_tokens: 4_000,
            }],
        )],
        unreachable: vec![Unreachable {
            zone: Arc::from("zone-1"),
            endpoint,
            replicas: vec![11],
        }],
    }
}

fn later(uptime: Option<Uptime>) -> Datagram {
    let Earlier {
        from,
        number,
        scope,
        used,
        loads,
        unreachable,
    } = earlier();
    Datagram {
        from,
        number,
        scope,
        used,
        loads,
        unreachable,
        uptime,
    }
}

#[test]
fn earlier_and_later_builds_understand_each_other() {
    let bytes = postcard::to_stdvec(&earlier()).expect("encoded");
    assert_eq!(Datagram::decode(&bytes).expect("decoded"), later(None));
    let uptime = Uptime {
        first: Millis(90_000),
        last: Millis(120),
    };
    let bytes = later(Some(uptime)).encode().expect("encoded");
    assert_eq!(Datagram::decode(&bytes).expect("decoded"), later(Some(uptime)));
    assert_eq!(
        postcard::from_bytes::<Earlier>(&bytes).expect("decoded by an earlier build"),
        earlier()
    );
}
