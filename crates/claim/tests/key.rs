//! Parsing and verification of issued keys, and fingerprints of requests.

use base::{Incarnation, Name};
use claim::key::{Malformed, Validity};
use claim::{Binding, Fingerprint, Key, Secret};

struct Case {
    text: &'static str,
    error: Malformed,
}

const MALFORMED: [Case; 7] = [
    Case {
        text: "",
        error: Malformed::Parts {
            found: 1,
            expected: 4,
        },
    },
    Case {
        text: "blk1-1-1",
        error: Malformed::Parts {
            found: 3,
            expected: 4,
        },
    },
    Case {
        text: "blk2-1-1-00",
        error: Malformed::Prefix,
    },
    Case {
        text: "blk1-+1-1-00",
        error: Malformed::Home,
    },
    Case {
        text: "blk1-1-G-00",
        error: Malformed::Number,
    },
    Case {
        text: "blk1-1-1-00",
        error: Malformed::Tag,
    },
    Case {
        text: "blk1-1-1-00000000000000000000000000000000000000000000000g",
        error: Malformed::Tag,
    },
];

#[test]
fn malformed_keys_report_the_cause() {
    for case in MALFORMED {
        assert_eq!(case.text.parse::<Key>(), Err(case.error), "{}", case.text);
    }
}

struct Verification {
    secret: &'static str,
    endpoint: &'static str,
    workspace: &'static str,
    number: u64,
    validity: Validity,
}

const VERIFICATIONS: [Verification; 6] = [
    Verification {
        secret: "s",
        endpoint: "ab",
        workspace: "c",
        number: 7,
        validity: Validity::Valid,
    },
    Verification {
        secret: "s",
        endpoint: "a",
        workspace: "bc",
        number: 7,
        validity: Validity::OtherBinding,
    },
    Verification {
        secret: "s",
        endpoint: "ab",
        workspace: "d",
        number: 7,
        validity: Validity::OtherBinding,
    },
    Verification {
        secret: "s",
        endpoint: "abc",
        workspace: "",
        number: 7,
        validity: Validity::OtherBinding,
    },
    Verification {
        secret: "s",
        endpoint: "ab",
        workspace: "c",
        number: 8,
        validity: Validity::Forged,
    },
    Verification {
        secret: "t",
        endpoint: "ab",
        workspace: "c",
        number: 7,
        validity: Validity::Forged,
    },
];

#[test]
fn a_key_is_valid_only_as_issued() {
    let issued = Secret::new(b"s").sign(Incarnation(3), 7, &binding("ab", "c"));
    for case in VERIFICATIONS {
        let mut key: Key = issued.to_string().parse().unwrap();
        key.number = case.number;
        let validity =
            Secret::new(case.secret.as_bytes()).verify(&key, &binding(case.endpoint, case.workspace));
        assert_eq!(validity, case.validity, "{}/{}", case.endpoint, case.workspace);
    }
}

#[test]
fn a_key_with_any_changed_digit_is_invalid() {
    let (secret, binding) = (Secret::new(b"s"), binding("ab", "c"));
    let text = secret.sign(Incarnation(3), 7, &binding).to_string();
    for index in 0..text.len() {
        let mut bytes = text.clone().into_bytes();
        bytes[index] = if bytes[index] == b'0' { b'1' } else { b'0' };
        let Ok(key) = String::from_utf8(bytes).unwrap().parse::<Key>() else {
            continue;
        };
        assert_ne!(secret.verify(&key, &binding), Validity::Valid, "digit {index}");
    }
}

#[test]
fn fingerprints_depend_on_the_boundaries_between_parts() {
    let fingerprint = Fingerprint::new(b"POST", b"/a", b"b");
    assert_eq!(fingerprint, Fingerprint::new(b"POST", b"/a", b"b"));
    assert_ne!(fingerprint, Fingerprint::new(b"POST", b"/", b"ab"));
    assert_ne!(fingerprint, Fingerprint::new(b"POST", b"/ab", b""));
    assert_ne!(fingerprint, Fingerprint::new(b"PUT", b"/a", b"b"));
}

fn binding(endpoint: &str, workspace: &str) -> Binding {
    Binding::new(Name::new(endpoint), Name::new(workspace))
}
