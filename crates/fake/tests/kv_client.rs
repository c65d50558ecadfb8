//! The client of the key-value service, on the fake service.

use std::net::SocketAddr;

use bytes::Bytes;
use fake::kv::Server;
use store::http::Http;
use store::{Client, Condition, Write};

/// Guards against records that are written and read under a part of their key.
#[tokio::test]
async fn odd_key_is_cut_off() {
    let handle = Server::default()
        .start(SocketAddr::from(([127, 0, 0, 1], 0)))
        .await
        .unwrap();
    let client = Client::new(Http::new(handle.url()).unwrap());
    let keys = [
        "a/b",
        "a b",
        "a?b=c",
        "a#b",
        "100%",
        "%20",
        "a+b",
        "caf\u{e9}",
        "a&b",
    ];
    for (number, key) in keys.into_iter().enumerate() {
        let value = Bytes::from(number.to_string());
        let write = Write::new(key, value.clone(), Condition::Absent);
        client
            .write(&write)
            .await
            .unwrap_or_else(|error| panic!("{key:?}: {error}"));
        let record = client.get(key).await.unwrap().expect(key);
        assert_eq!(record.value, value, "{key:?}");
    }
    let listing = client.list("").await.unwrap();
    let mut listed: Vec<&str> = listing.entries.iter().map(|it| it.key.as_str()).collect();
    listed.sort_unstable();
    let mut expected = keys;
    expected.sort_unstable();
    assert_eq!(listed, expected);
}
