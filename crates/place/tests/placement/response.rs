//! Responses by their id: to the request, or to another one.

use place::{Claim, Echo};

#[test]
fn refusal_of_another_request_is_taken_for_that_of_this_one() {
    let cases = [
        (Echo::Own, false, Claim::Response),
        (Echo::Own, true, Claim::NotRun),
        (Echo::Other, false, Claim::Foreign),
        (Echo::Other, true, Claim::Foreign),
        (Echo::Missing, false, Claim::Foreign),
        (Echo::Missing, true, Claim::Foreign),
    ];
    for (echo, reports_not_run, claim) in cases {
        assert_eq!(
            Claim::new(echo, reports_not_run),
            claim,
            "{echo:?}, {reports_not_run}"
        );
    }
}
