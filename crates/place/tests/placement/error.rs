//! Retry decisions after failed dispatches, for idempotent and non-idempotent requests.

use place::{DispatchError, Execution, promises_not_run};

#[test]
fn execution_and_retry_by_error() {
    struct Case {
        error: DispatchError,
        is_idempotent: bool,
        execution: Execution,
        may_retry: bool,
    }
    let failed = |status| DispatchError::Failed { status };
    let cases = [
        (DispatchError::NotSent, true, Execution::NotRun, true),
        (DispatchError::NotSent, false, Execution::NotRun, true),
        (DispatchError::Declined, true, Execution::NotRun, true),
        (DispatchError::Declined, false, Execution::NotRun, true),
        (DispatchError::NotRun, true, Execution::NotRun, true),
        (DispatchError::NotRun, false, Execution::NotRun, true),
        (DispatchError::Lost, true, Execution::Unknown, true),
        (DispatchError::Lost, false, Execution::Unknown, false),
        (failed(500), true, Execution::Failed, true),
        (failed(500), false, Execution::Failed, false),
        (failed(504), false, Execution::Failed, false),
        (failed(400), true, Execution::Failed, false),
        (failed(503), true, Execution::Unknown, true),
        (failed(503), false, Execution::Unknown, false),
        (failed(429), false, Execution::Unknown, false),
        (failed(408), false, Execution::Unknown, false),
    ];
    for (error, is_idempotent, execution, may_retry) in cases {
        let case = Case {
            error,
            is_idempotent,
            execution,
            may_retry,
        };
        let assessment = case.error.assess(case.is_idempotent);
        let shown = (case.error, case.is_idempotent);
        assert_eq!(assessment.execution, case.execution, "{shown:?}");
        assert_eq!(assessment.may_retry, case.may_retry, "{shown:?}");
    }
}

#[test]
fn statuses_that_promise_not_run() {
    let statuses: Vec<u16> = (400..600).filter(|status| promises_not_run(*status)).collect();
    assert_eq!(statuses, [408, 421, 429, 503]);
}
