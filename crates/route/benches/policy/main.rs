//! Compares routing policies with baselines in virtual time: one table per scenario, with mean and range over seeds.
//!
//! `cargo bench -p route --bench policy [scenario]`

mod engine;
mod node;
mod policy;
mod run;
mod scenario;
mod summary;

use std::env;

use policy::POLICIES;
use run::Run;
use scenario::SCENARIOS;
use summary::{Spread, Summary};

const SEEDS: [u64; 5] = [1, 2, 3, 4, 5];

fn main() {
    let filter = env::args().skip(1).find(|argument| !argument.starts_with("--"));
    for scenario in SCENARIOS {
        if filter
            .as_ref()
            .is_some_and(|filter| !scenario.name.contains(filter.as_str()))
        {
            continue;
        }
        println!("\n{}: mean (min..max) of {} seeds", scenario.name, SEEDS.len());
        println!("{}", Spread::HEADER);
        for policy in POLICIES {
            let summaries: Vec<Summary> = SEEDS
                .iter()
                .map(|seed| Summary::new(&Run::new(scenario, policy, *seed).run()))
                .collect();
            println!("{:16}{}", policy.name(), Spread::new(&summaries));
        }
    }
}
