//! Replica counts by load, and the capacity that remains when zones are lost.

use std::sync::Arc;

use fleet::capacity::{Bounds, Count, Zone, desired_counts};

fn bounds(reclaimable_price: Option<f64>, sold_out: bool, present: u32) -> Bounds {
    let zone = |(name, price): (&str, f64)| Zone {
        name: Arc::from(name),
        on_demand_price: price,
        reclaimable: present,
        sold_out,
    };
    let prices = [("a", 1.0), ("b", 0.8), ("c", 1.25), ("d", 0.9)];
    Bounds {
        zones: prices.into_iter().map(zone).collect(),
        min: 1,
        max: 6,
        reclaimable_price,
    }
}

fn totals(counts: &[Count]) -> (u32, u32) {
    let on_demand = counts.iter().map(|it| it.on_demand).sum();
    let reclaimable = counts.iter().map(|it| it.reclaimable).sum();
    (on_demand, reclaimable)
}

fn without_two_worst_zones(counts: &[Count]) -> u32 {
    let (on_demand, reclaimable) = totals(counts);
    let mut zones: Vec<u32> = counts.iter().map(|it| it.reclaimable).collect();
    zones.sort_unstable();
    on_demand + reclaimable - zones.iter().rev().take(2).sum::<u32>()
}

#[test]
fn reclaimable_replicas_survive_the_loss_of_two_zones() {
    for busy_replicas in [0.0, 0.5, 1.5, 2.5, 4.0] {
        let counts = desired_counts(&bounds(Some(0.15), false, 0), busy_replicas);
        let (on_demand, reclaimable) = totals(&counts);
        assert_eq!(on_demand, 0, "busy {busy_replicas}: {counts:?}");
        assert!(
            f64::from(reclaimable) >= busy_replicas / 0.25,
            "busy {busy_replicas}: {counts:?}"
        );
        assert!(
            f64::from(without_two_worst_zones(&counts)) >= busy_replicas / 0.6,
            "busy {busy_replicas}: {counts:?}"
        );
        for count in &counts {
            assert!(
                (1..=6).contains(&(count.on_demand + count.reclaimable)),
                "{counts:?}"
            );
        }
    }
}

/// Zone after zone is reclaimed while reclaimable replicas are sold out everywhere: on-demand replicas replace them.
#[test]
fn on_demand_replicas_replace_sold_out_reclaimable_ones() {
    let busy_replicas = 2.4;
    for present in [3, 2, 1, 0] {
        let counts = desired_counts(&bounds(Some(0.15), true, present), busy_replicas);
        let (on_demand, reclaimable) = totals(&counts);
        assert!(reclaimable <= 4 * present, "{counts:?}");
        assert!(
            f64::from(without_two_worst_zones(&counts)) >= busy_replicas / 0.6,
            "{counts:?}"
        );
        if present == 0 {
            assert!(on_demand >= 4, "{counts:?}");
        }
    }
}

#[test]
fn sold_out_replicas_that_serve_are_kept() {
    let counts = desired_counts(&bounds(Some(0.15), true, 5), 3.0);
    let (_, reclaimable) = totals(&counts);
    assert_eq!(reclaimable, 20, "{counts:?}");
}

#[test]
fn on_demand_replicas_prefer_cheap_zones() {
    let counts = desired_counts(&bounds(None, false, 0), 2.0);
    let (on_demand, reclaimable) = totals(&counts);
    assert_eq!(reclaimable, 0);
    assert!((4..=8).contains(&on_demand), "{counts:?}");
    let cheap: u32 = counts
        .iter()
        .filter(|it| matches!(&*it.zone, "b" | "d"))
        .map(|it| it.on_demand)
        .sum();
    assert!(cheap * 2 >= on_demand, "{counts:?}");
}

#[test]
fn no_zones_get_no_replicas() {
    let none = Bounds {
        zones: Vec::new(),
        ..bounds(None, false, 0)
    };
    assert_eq!(desired_counts(&none, 1.0), Vec::new());
}
