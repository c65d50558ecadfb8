//! The move of nodes from an earlier build to the current one.

use base::Millis;
use soak::upgrade::{Build, Course, Upgrade};

use Build::{Current, Earlier};

struct Case {
    course: Course,
    nodes: usize,
    steps: &'static [(usize, Build)],
}

#[test]
fn nodes_move_one_after_the_other() {
    let cases = [
        Case {
            course: Course::Whole,
            nodes: 3,
            steps: &[(0, Current), (1, Current), (2, Current)],
        },
        Case {
            course: Course::Halted,
            nodes: 3,
            steps: &[(0, Current), (1, Current)],
        },
        Case {
            course: Course::TakenBack,
            nodes: 4,
            steps: &[(0, Current), (1, Current), (0, Earlier), (1, Earlier)],
        },
        Case {
            course: Course::Halted,
            nodes: 1,
            steps: &[(0, Current)],
        },
    ];
    for case in cases {
        let upgrade = Upgrade {
            at: Millis::ZERO,
            pause: Millis::ZERO,
            course: case.course,
        };
        assert_eq!(upgrade.steps(case.nodes), case.steps, "{:?}", case.course);
    }
}

#[test]
fn seeds_draw_every_course_within_the_first_half() {
    let length = Millis(12_000);
    let drawn: Vec<Upgrade> = (0..64).map(|seed| Upgrade::from_seed(seed, length)).collect();
    for course in [Course::Whole, Course::Halted, Course::TakenBack] {
        assert!(drawn.iter().any(|it| it.course == course), "{course:?}");
    }
    assert!(drawn.iter().all(|it| it.at < Millis(6_000)));
}
