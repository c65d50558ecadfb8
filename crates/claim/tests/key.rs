//! Texts, tags and fingerprints of keys.

use base::{Incarnation, Name};
use claim::key::{Malformed, Verdict};
use claim::{Binding, Fingerprint, Key, Secret};

struct Text {
    text: &'static str,
    error: Malformed,
}

const TEXTS: [Text; 7] = [
    Text {
        text: "",
        error: Malformed::Parts { found: 1, wanted: 4 },
    },
    Text {
        text: "blk1-1-1",
        error: Malformed::Parts { found: 3, wanted: 4 },
    },
    Text {
        text: "blk2-1-1-00",
        error: Malformed::Prefix,
    },
    Text {
        text: "blk1-+1-1-00",
        error: Malformed::Home,
    },
    Text {
        text: "blk1-1-G-00",
        error: Malformed::Number,
    },
    Text {
        text: "blk1-1-1-00",
        error: Malformed::Tag,
    },
    Text {
        text: "blk1-1-1-00000000000000000000000000000000000000000000000g",
        error: Malformed::Tag,
    },
];

#[test]
fn malformed_texts_say_what_is_wrong() {
    for case in TEXTS {
        assert_eq!(case.text.parse::<Key>(), Err(case.error), "{}", case.text);
    }
}

struct Use {
    secret: &'static str,
    endpoint: &'static str,
    workspace: &'static str,
    number: u64,
    verdict: Verdict,
}

const USES: [Use; 6] = [
    Use {
        secret: "s",
        endpoint: "ab",
        workspace: "c",
        number: 7,
        verdict: Verdict::Valid,
    },
    Use {
        secret: "s",
        endpoint: "a",
        workspace: "bc",
        number: 7,
        verdict: Verdict::OtherBinding,
    },
    Use {
        secret: "s",
        endpoint: "ab",
        workspace: "d",
        number: 7,
        verdict: Verdict::OtherBinding,
    },
    Use {
        secret: "s",
        endpoint: "abc",
        workspace: "",
        number: 7,
        verdict: Verdict::OtherBinding,
    },
    Use {
        secret: "s",
        endpoint: "ab",
        workspace: "c",
        number: 8,
        verdict: Verdict::Forged,
    },
    Use {
        secret: "t",
        endpoint: "ab",
        workspace: "c",
        number: 7,
        verdict: Verdict::Forged,
    },
];

#[test]
fn a_key_holds_only_as_issued() {
    let issued = Secret::new(b"s").sign(Incarnation(3), 7, &binding("ab", "c"));
    for case in USES {
        let mut key: Key = issued.to_string().parse().unwrap();
        key.number = case.number;
        let verdict =
            Secret::new(case.secret.as_bytes()).verify(&key, &binding(case.endpoint, case.workspace));
        assert_eq!(verdict, case.verdict, "{}/{}", case.endpoint, case.workspace);
    }
}

#[test]
fn any_changed_digit_is_refused() {
    let (secret, binding) = (Secret::new(b"s"), binding("ab", "c"));
    let text = secret.sign(Incarnation(3), 7, &binding).to_string();
    for place in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[place] = if bytes[place] == b'0' { b'1' } else { b'0' };
        let Ok(key) = String::from_utf8(bytes).unwrap().parse::<Key>() else {
            continue;
        };
        assert_ne!(secret.verify(&key, &binding), Verdict::Valid, "digit {place}");
    }
}

#[test]
fn fingerprints_keep_the_parts_apart() {
    let one = Fingerprint::new(b"POST", b"/a", b"b");
    assert_eq!(one, Fingerprint::new(b"POST", b"/a", b"b"));
    assert_ne!(one, Fingerprint::new(b"POST", b"/", b"ab"));
    assert_ne!(one, Fingerprint::new(b"POST", b"/ab", b""));
    assert_ne!(one, Fingerprint::new(b"PUT", b"/a", b"b"));
}

fn binding(endpoint: &str, workspace: &str) -> Binding {
    Binding::new(Name::new(endpoint), Name::new(workspace))
}
