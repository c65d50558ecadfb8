//! Arrivals depend only on the seed, fall within the run and follow the configured rate and shape.

use base::Seed;
use load::workload::stream::{Questions, Work};
use load::workload::{Arrival, Operation, Shape, Stream, generate};

/// A day scaled to 1,000 seconds.
const SPAN_US: u64 = 1_000_000_000;

fn stream(rate_per_s: f64, shape: Shape, work: Work) -> Stream {
    let [endpoint, workspace] = ["e", "w"].map(str::to_owned);
    Stream {
        endpoint,
        workspace,
        rate_per_s,
        shape,
        work,
        priority: load::workload::stream::Priority::Normal,
    }
}

fn count_between(arrivals: &[Arrival], from_hour: f64, to_hour: f64) -> usize {
    let time_us = |hour: f64| (SPAN_US as f64 * hour / 24.0) as u64;
    arrivals
        .iter()
        .filter(|arrival| (time_us(from_hour)..time_us(to_hour)).contains(&arrival.due_us))
        .count()
}

#[test]
fn rates_follow_their_shapes() {
    struct Case {
        shape: Shape,
        from: f64,
        to: f64,
        /// Bounds of the number of arrivals at a peak rate of 100 per second; an hour is 41.7 seconds.
        least: usize,
        most: usize,
    }
    let case = |shape, from, to, least, most| Case {
        shape,
        from,
        to,
        least,
        most,
    };
    let cases = [
        case(Shape::Steady, 0.0, 24.0, 98_000, 102_000),
        case(Shape::SchoolDay, 0.0, 5.0, 500, 2_000),
        case(Shape::SchoolDay, 7.25, 7.75, 1_700, 2_100),
        case(Shape::SchoolDay, 12.0, 12.5, 1_700, 2_100),
        case(Shape::OfficeDay, 9.0, 11.0, 6_500, 8_300),
        case(Shape::Overnight, 6.0, 20.0, 0, 0),
    ];
    for case in cases {
        let arrivals = generate(
            &[stream(100.0, case.shape, Work::Balance { accounts: 9 })],
            SPAN_US,
            Seed(1),
        );
        let count = count_between(&arrivals, case.from, case.to);
        assert!(
            (case.least..=case.most).contains(&count),
            "{:?} from {}: {count}",
            case.shape,
            case.from
        );
    }
}

#[test]
fn same_seed_gives_same_arrivals() {
    let streams = [
        stream(5.0, Shape::OfficeDay, Work::TopUp { accounts: 9 }),
        stream(3.0, Shape::Steady, question_work()),
    ];
    let first = generate(&streams, SPAN_US, Seed(7));
    assert_eq!(first, generate(&streams, SPAN_US, Seed(7)));
    assert_ne!(first, generate(&streams, SPAN_US, Seed(8)));
    assert!(first.is_sorted_by_key(|arrival| arrival.due_us));
    assert!(first.iter().all(|arrival| arrival.due_us < SPAN_US));
}

fn question_work() -> Work {
    Work::Questions(Questions {
        files: 4,
        file_tokens: 160,
        question_tokens: 20,
        answer_min: 3,
        answer_max: 9,
        follow_ups: 3,
        think_ms: 500,
    })
}

#[test]
fn prompts_share_only_the_text_of_their_file() {
    let arrivals = generate(
        &[stream(1.0, Shape::Steady, question_work())],
        SPAN_US / 10,
        Seed(3),
    );
    let questions = arrivals.iter().filter_map(|arrival| match arrival.operation {
        Operation::Question(question) => Some(question),
        Operation::TopUp { .. } | Operation::Balance { .. } | Operation::Post { .. } => None,
    });
    let questions = questions.collect::<Vec<_>>();
    assert!(questions.len() > 50);
    for pair in questions.windows(2) {
        let [one, other] = [pair[0].prompt(), pair[1].prompt()];
        assert_eq!(one.len(), 180 * 4);
        assert_ne!(one, other);
        assert_eq!(one[..160 * 4] == other[..160 * 4], pair[0].file == pair[1].file);
    }
}
