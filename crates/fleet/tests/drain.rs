//! Checks drain plans against an exhaustive search over all sets of exports.

use base::Millis;
use fleet::Drain;
use fleet::drain::{Request, Step};
use quickcheck::TestResult;

const MARGIN: Millis = Millis(200);

/// Idempotency, remaining time, tokens and export time of one request.
type Numbers = (bool, u8, u8, u8);

fn requests(numbers: &[Numbers]) -> Vec<Request> {
    let request = |(id, it): (usize, &Numbers)| Request {
        id: id as u64,
        idempotent: it.0,
        remaining: Millis(u64::from(it.1) * 50),
        tokens: u64::from(it.2) * 10,
        export_time: (it.3 > 20).then(|| Millis(u64::from(it.3) * 8)),
    };
    numbers.iter().take(10).enumerate().map(request).collect()
}

/// Returns the most tokens that any set of exports can save in the usable time.
fn most_saved_tokens(requests: &[Request], usable_ms: u64) -> u64 {
    let movable = requests
        .iter()
        .filter(|it| it.idempotent && it.remaining.0 > usable_ms);
    let exports: Vec<(u64, u64)> = movable
        .filter_map(|it| Some((it.export_time?.0, it.tokens)))
        .collect();
    let sets = 0..1_u32 << exports.len();
    let saved = |set: u32| {
        let chosen = exports.iter().enumerate().filter(|it| set >> it.0 & 1 == 1);
        let (export_ms, tokens) = chosen.fold((0, 0), |sum, it| (sum.0 + it.1.0, sum.1 + it.1.1));
        if export_ms <= usable_ms { tokens } else { 0 }
    };
    sets.map(saved).max().unwrap_or(0)
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "quickcheck passes its inputs by value"
)]
fn steps_fit_the_notice(numbers: Vec<Numbers>, notice: u16) -> TestResult {
    let requests = requests(&numbers);
    let notice = Millis(u64::from(notice) % 8_000);
    let usable = notice - MARGIN;
    let drain = Drain::new(&requests, notice, MARGIN);
    assert_eq!(
        drain.steps.len(),
        requests.len(),
        "each request must have one step"
    );
    let mut export_ms = 0;
    let mut saved = 0;
    for step in &drain.steps {
        let (Step::Finish(id) | Step::AtRisk(id) | Step::Export(id) | Step::Recompute(id)) = *step;
        let request = requests[id as usize];
        let finishes = request.remaining <= usable;
        match step {
            Step::Finish(_) => assert!(finishes),
            Step::AtRisk(_) => assert!(!finishes && !request.idempotent),
            Step::Recompute(_) => assert!(!finishes && request.idempotent),
            Step::Export(_) => {
                assert!(!finishes && request.idempotent);
                export_ms += request.export_time.map_or(u64::MAX, |it| it.0);
                saved += request.tokens;
            }
        }
    }
    assert!(
        export_ms <= usable.0,
        "the exports take longer than the usable time"
    );
    assert_eq!(saved, drain.saved_tokens);
    assert!(
        drain.saved_tokens * 2 >= most_saved_tokens(&requests, usable.0),
        "the exports save less than half of the best set"
    );
    TestResult::passed()
}

#[test]
fn drains_cover_all_requests_and_save_half_of_the_best() {
    check::property(
        2_000,
        10,
        steps_fit_the_notice as fn(Vec<Numbers>, u16) -> TestResult,
    );
}

#[test]
fn a_small_export_does_not_crowd_out_a_large_one() {
    let request = |id: u64, tokens: u64, export: u64| Request {
        id,
        idempotent: true,
        remaining: Millis(60_000),
        tokens,
        export_time: Some(Millis(export)),
    };
    let requests = [request(1, 20, 10), request(2, 1_000, 1_000)];
    let drain = Drain::new(&requests, Millis(1_000) + MARGIN, MARGIN);
    assert_eq!(drain.steps, [Step::Export(2), Step::Recompute(1)]);
    assert_eq!(drain.saved_tokens, 1_000);
}
