//! Sums of totals over nodes that come, go and restart.

use std::sync::Arc;

use quota::Totals;

/// A report: the node and its total; `None` forgets the node.
type Step = (u64, Option<u64>);

struct Case {
    name: &'static str,
    steps: &'static [Step],
    sum: u64,
}

const CASES: [Case; 5] = [
    Case {
        name: "what was admitted before the first report is not counted",
        steps: &[(1, Some(500))],
        sum: 0,
    },
    Case {
        name: "growth of several nodes is added up",
        steps: &[(1, Some(10)), (2, Some(0)), (1, Some(25)), (2, Some(7))],
        sum: 22,
    },
    Case {
        name: "a report that arrives twice counts once",
        steps: &[(1, Some(0)), (1, Some(30)), (1, Some(30))],
        sum: 30,
    },
    Case {
        name: "a node that is gone keeps its part",
        steps: &[(1, Some(0)), (1, Some(30)), (1, None), (2, Some(0)), (2, Some(4))],
        sum: 34,
    },
    Case {
        name: "a refund lowers the sum",
        steps: &[(1, Some(0)), (1, Some(30)), (1, Some(20)), (1, Some(26))],
        sum: 26,
    },
];

#[test]
fn sums_of_reported_growth() {
    let workspace: Arc<str> = Arc::from("tills");
    for case in &CASES {
        let mut totals: Totals<Arc<str>> = Totals::default();
        for (node, total) in case.steps {
            match total {
                Some(total) => totals.record(*node, &[(Arc::clone(&workspace), *total)]),
                None => totals.retain(|it| it != *node),
            }
        }
        let sums = totals.sums();
        assert_eq!(sums, [(Arc::clone(&workspace), case.sum)], "{}", case.name);
    }
}

/// A node that was silent for a workspace starts from zero there.
#[test]
fn first_use_of_a_workspace_by_a_known_node_counts() {
    let mut totals: Totals<Arc<str>> = Totals::default();
    totals.record(1, &[(Arc::from("tills"), 5)]);
    totals.record(1, &[(Arc::from("tills"), 5), (Arc::from("clerks"), 9)]);
    let sums = totals.sums();
    assert_eq!(sums, [(Arc::from("tills"), 0), (Arc::from("clerks"), 9)]);
}
