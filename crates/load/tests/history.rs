//! The checker accepts valid histories and reports each kind of violation.

use load::history::record::{Answer, Dispatch, Generation, Invoke, Run};
use load::history::{Content, End, Kind, Record, check, read};
use quickcheck::{Arbitrary, Gen};

fn content(parts: u64, digest: &str) -> Content {
    Content {
        parts,
        digest: digest.to_owned(),
    }
}

fn invoke(call: &str, key: Option<&str>, retry_of: Option<&str>) -> Record {
    Record::Invoke(Invoke {
        at_us: 0,
        call: call.to_owned(),
        endpoint: "cyfrif".to_owned(),
        idempotent: key.is_none(),
        key: key.map(str::to_owned),
        retry_of: retry_of.map(str::to_owned),
        expected: content(3, call),
    })
}

fn dispatch(call: &str, dispatch: &str) -> Record {
    Record::Dispatch(Dispatch {
        call: call.to_owned(),
        dispatch: dispatch.to_owned(),
    })
}

fn run(call: Option<&str>, dispatch: Option<&str>) -> Record {
    Record::Run(Run {
        replica: "r".to_owned(),
        number: 1,
        call: call.map(str::to_owned),
        dispatch: dispatch.map(str::to_owned),
        key: None,
    })
}

fn end(call: &str, end: End) -> Record {
    let content = (end == End::Answered).then(|| content(3, call));
    Record::Answer(Answer {
        at_us: 9,
        call: call.to_owned(),
        end,
        content,
        body: None,
    })
}

fn answer(call: &str, content: Content, body: &str) -> Record {
    let body = Some(body.to_owned());
    Record::Answer(Answer {
        at_us: 9,
        call: call.to_owned(),
        end: End::Answered,
        content: Some(content),
        body,
    })
}

fn generation(node: &str, generation: u64) -> Record {
    Record::Generation(Generation {
        node: node.to_owned(),
        generation,
    })
}

fn findings(records: &[Record]) -> Vec<(usize, Kind)> {
    let lines = records
        .iter()
        .map(|record| serde_json::to_string(record).unwrap());
    let history = read(&lines.collect::<Vec<_>>().join("\n"));
    check(&history)
        .into_iter()
        .map(|finding| (finding.line, finding.kind))
        .collect()
}

/// Parses a record in short form: `call ID KEY`, `again ID KEY CALL`, `dispatch CALL ID`, `run CALL DISPATCH`,
/// `end CALL END`, `answer CALL PARTS DIGEST BODY` or `apply NODE GENERATION`; `-` means none.
fn record(short: &str) -> Record {
    let words = short.split_whitespace().collect::<Vec<_>>();
    let optional = |index: usize| Some(words[index]).filter(|word| *word != "-");
    match words[0] {
        "call" => invoke(words[1], optional(2), None),
        "again" => invoke(words[1], optional(2), optional(3)),
        "dispatch" => dispatch(words[1], words[2]),
        "run" => run(optional(1), optional(2)),
        "end" => end(
            words[1],
            serde_json::from_str(&format!("{:?}", words[2])).unwrap(),
        ),
        "answer" => answer(words[1], content(words[2].parse().unwrap(), words[3]), words[4]),
        "apply" => generation(words[1], words[2].parse().unwrap()),
        other => panic!("unknown record type: {other}"),
    }
}

#[test]
fn each_violation_is_found() {
    struct Case {
        history: &'static str,
        expected: &'static [(usize, Kind)],
    }
    const fn case(history: &'static str, expected: &'static [(usize, Kind)]) -> Case {
        Case { history, expected }
    }
    let cases = [
        // Valid: a call is answered once; an idempotent call may run twice; a retry may run after a not-run refusal.
        case("call a k, run a -, end a answered", &[]),
        case("call a -, run a -, run a -, end a answered", &[]),
        case("call a k, end a not-run, call b k, run b -, end b answered", &[]),
        case("call a k, run a -, end a unknown", &[]),
        // Violations.
        case(
            "call a k, run a -, run a -, end a answered",
            &[(3, Kind::DoubleRun)],
        ),
        case(
            "call a k, run a -, end a unknown, call b k, run b -, end b answered",
            &[(5, Kind::DoubleRun)],
        ),
        case(
            "call a k, dispatch a d, dispatch a e, run - d, run - e, end a answered",
            &[(5, Kind::DoubleRun)],
        ),
        case(
            "call a k, run a -, end a not-run",
            &[(2, Kind::RunDespiteRefusal)],
        ),
        case(
            "call a -, end a not-run, run a -",
            &[(3, Kind::RunDespiteRefusal)],
        ),
        case("call a -, answer a 3 b x", &[(2, Kind::WrongContent)]),
        case("call a -, answer a 2 a x", &[(2, Kind::Truncated)]),
        case("call a -, answer a 4 a x", &[(2, Kind::Excess)]),
        case(
            "call a k, answer a 3 a x, call b k, answer b 3 b y",
            &[(4, Kind::InconsistentAnswers)],
        ),
        case("call a -, end a lost", &[(2, Kind::Lost)]),
        case(
            "call a -, end a lost, again b - a, end b lost",
            &[(4, Kind::Lost)],
        ),
        case("call a -, end a lost, again b - a, end b answered", &[]),
        case("call a -", &[(1, Kind::EndCount)]),
        case("call a -, end a answered, end a answered", &[(1, Kind::EndCount)]),
        case("call a -, end a not-run, call a -", &[(3, Kind::DuplicateCall)]),
        case("run a -", &[(1, Kind::UnknownCall)]),
        case("end a answered", &[(1, Kind::UnknownCall)]),
        case(
            "apply n 4, apply m 3, apply n 4, apply n 3, apply n 4",
            &[(4, Kind::GenerationDecreased)],
        ),
    ];
    for case in cases {
        let records = case.history.split(',').map(record).collect::<Vec<_>>();
        assert_eq!(findings(&records), case.expected, "{}", case.history);
    }
}

#[test]
fn malformed_lines_are_found_with_their_line_number() {
    let history =
        read("\n{\"kind\":\"generation\",\"node\":\"n\",\"generation\":1}\nnot json\n{\"kind\":\"other\"}");
    let lines = check(&history)
        .into_iter()
        .map(|finding| (finding.line, finding.kind));
    assert_eq!(
        lines.collect::<Vec<_>>(),
        [(3, Kind::Malformed), (4, Kind::Malformed)]
    );
}

/// A valid history of calls, given by their idempotency, and a violation to add.
#[derive(Clone, Debug)]
struct BrokenHistory {
    calls: Vec<bool>,
    at: usize,
    fault: u8,
}

impl Arbitrary for BrokenHistory {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut calls = Vec::<bool>::arbitrary(g);
        calls.push(bool::arbitrary(g));
        Self {
            calls,
            at: usize::arbitrary(g),
            fault: u8::arbitrary(g) % 5,
        }
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let Self { at, fault, .. } = *self;
        let shorter = self.calls.shrink().filter(|calls| !calls.is_empty());
        Box::new(shorter.map(move |calls| Self { calls, at, fault }))
    }
}

impl BrokenHistory {
    fn valid(&self) -> Vec<Record> {
        let mut records = Vec::new();
        for (index, idempotent) in self.calls.iter().enumerate() {
            let id = format!("c{index}");
            let key = format!("k{index}");
            records.push(invoke(&id, (!idempotent).then_some(key.as_str()), None));
            records.push(run(Some(&id), None));
            records.push(end(&id, End::Answered));
            records.push(generation("n", index as u64));
        }
        records
    }

    /// Adds a violation to one call or to the generations and returns the expected kind of finding.
    fn broken(&self) -> (Vec<Record>, Kind) {
        let mut records = self.valid();
        let call = self.at % self.calls.len();
        let id = format!("c{call}");
        let kind = match self.fault {
            0 if !self.calls[call] => {
                records.push(run(Some(&id), None));
                Kind::DoubleRun
            }
            1 => {
                records[call * 4 + 2] = end(&id, End::NotRun);
                Kind::RunDespiteRefusal
            }
            2 => {
                records[call * 4 + 2] = answer(&id, content(3, "other"), "x");
                Kind::WrongContent
            }
            3 => {
                records[call * 4 + 2] = answer(&id, content(2, &id), "x");
                Kind::Truncated
            }
            _ => {
                records.push(generation("n", self.calls.len() as u64 + 1));
                records.push(generation("n", call as u64));
                Kind::GenerationDecreased
            }
        };
        (records, kind)
    }
}

fn checker_distinguishes(history: BrokenHistory) -> bool {
    let valid = findings(&history.valid());
    let (records, kind) = history.broken();
    let found = findings(&records);
    drop(history);
    valid.is_empty() && found.len() == 1 && found[0].1 == kind
}

#[test]
fn valid_and_broken_histories_are_distinguished() {
    check::property(500, 30, checker_distinguishes as fn(BrokenHistory) -> bool);
}
