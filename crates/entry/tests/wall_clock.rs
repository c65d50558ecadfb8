//! The wall clock estimate ignores clock jumps, and counts keep their windows.

use std::sync::Arc;

use base::Millis;
use entry::counts::Counts;
use entry::wall_clock::WallClock;
use indexmap::IndexMap;

const START: u64 = 1_700_000_000_000;

#[test]
fn clock_jumps_are_ignored() {
    let mut clock = WallClock::new();
    assert_eq!(clock.unix_ms(Millis(5)), None);
    for second in 0..120_u64 {
        let now = Millis(second * 1_000);
        let jump = if (40..52).contains(&second) { 2_400 } else { 0 };
        clock.record_sample(now, START + now.0 + jump);
        assert_eq!(clock.unix_ms(now), Some(START + now.0), "second {second}");
    }
}

#[test]
fn counts_keep_the_newest_windows() {
    let mut counts = Counts::default();
    let workspace: Arc<str> = Arc::from("tills");
    for window in 0..20 {
        for _request in 0..window {
            counts.add(window, &workspace);
        }
    }
    assert_eq!(counts.newest(), Some(19));
    let mut sum = IndexMap::new();
    counts.add_to(18, &mut sum);
    counts.add_to(3, &mut sum);
    assert_eq!(sum.get(&workspace), Some(&18));
}
