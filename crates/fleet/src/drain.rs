//! What to do with each running request of a replica that ends within a notice.
//!
//! No new work goes to the replica from the notice on. A request that ends in time is left to end. A non-idempotent
//! one can't be moved at all. A longer idempotent stream goes on at another replica: with its KV cache if there is
//! time to export it, else by computing its tokens again. The time goes to the exports that save most tokens in it.

use base::Millis;

/// A request that runs on the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stream {
    /// The caller's identifier.
    pub id: u64,
    /// Whether it may run again.
    pub idempotent: bool,
    /// Expected time until it ends.
    pub remaining: Millis,
    /// Tokens that would be computed again without its KV cache: the prompt and what was answered.
    pub tokens: u64,
    /// Time that the export of its KV cache takes; `None` if the engine can't export it.
    pub export: Option<Millis>,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Leave it to end.
    Finish(u64),
    /// Leave it, since it can't be moved, though it will hardly end in time.
    Risk(u64),
    /// Export its KV cache, then go on at another replica. Exports run one after the other in this order.
    Export(u64),
    /// Go on at another replica at once and compute its tokens again.
    Recompute(u64),
}

/// The steps for one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drain {
    /// One step a request: what is left alone, then the exports in their order, then the rest.
    pub steps: Vec<Step>,
    /// Tokens that need not be computed again.
    pub saved: u64,
    /// Tokens that will be computed again.
    pub recomputed: u64,
}

/// An export that may be made.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: u64,
    tokens: u64,
    cost: u64,
}

impl Drain {
    /// The steps for `streams` of a replica that ends in `left`, keeping `margin` of it unused.
    pub fn new(streams: &[Stream], left: Millis, margin: Millis) -> Self {
        let mut drain = Self::default();
        let usable = left - margin;
        let mut candidates = Vec::new();
        let mut rest = Vec::new();
        for stream in streams {
            match stream {
                _ if stream.remaining <= usable => drain.steps.push(Step::Finish(stream.id)),
                Stream {
                    idempotent: false, ..
                } => drain.steps.push(Step::Risk(stream.id)),
                Stream {
                    id,
                    tokens,
                    export: Some(cost),
                    ..
                } if *cost <= usable => candidates.push(Candidate {
                    id: *id,
                    tokens: *tokens,
                    cost: cost.0,
                }),
                _ => rest.push(stream),
            }
        }
        let chosen = choose(&mut candidates, usable.0);
        drain.export(&candidates, &chosen);
        for stream in rest {
            drain.recompute(stream.id, stream.tokens);
        }
        drain
    }

    fn export(&mut self, candidates: &[Candidate], chosen: &Chosen) {
        for (index, it) in candidates.iter().enumerate() {
            if chosen.takes(index) {
                self.steps.push(Step::Export(it.id));
                self.saved += it.tokens;
            }
        }
        for (index, it) in candidates.iter().enumerate() {
            if !chosen.takes(index) {
                self.recompute(it.id, it.tokens);
            }
        }
    }

    fn recompute(&mut self, id: u64, tokens: u64) {
        self.steps.push(Step::Recompute(id));
        self.recomputed += tokens;
    }
}

/// Which of the sorted candidates are exported.
#[derive(Debug)]
enum Chosen {
    Each(Vec<bool>),
    Only(usize),
}

impl Chosen {
    fn takes(&self, index: usize) -> bool {
        match self {
            Self::Each(taken) => taken[index],
            Self::Only(only) => *only == index,
        }
    }
}

/// Sorts by tokens saved a millisecond and takes what fits, or the single largest if that saves more; together they
/// save at least half of what the best choice would.
fn choose(candidates: &mut [Candidate], usable: u64) -> Chosen {
    let rate = |it: &Candidate| it.tokens as f64 / it.cost.max(1) as f64;
    candidates.sort_by(|a, b| rate(b).total_cmp(&rate(a)).then(a.id.cmp(&b.id)));
    let mut left = usable;
    let mut saved = 0;
    let mut taken = vec![false; candidates.len()];
    for (index, it) in candidates.iter().enumerate() {
        if it.cost <= left {
            left -= it.cost;
            saved += it.tokens;
            taken[index] = true;
        }
    }
    let largest = candidates.iter().enumerate().max_by_key(|it| it.1.tokens);
    match largest {
        Some((index, it)) if it.tokens > saved => Chosen::Only(index),
        _ => Chosen::Each(taken),
    }
}
