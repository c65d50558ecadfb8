//! What to do with each running request of a replica that ends within a notice.
//!
//! No new work goes to the replica from the notice on. A request that ends in time is left to end. A non-idempotent
//! one can't be moved at all. A longer idempotent stream goes on at another replica: with its KV cache if there is
//! time to export it, else by computing its tokens again. The time goes to the exports that save most tokens in it.

use base::Millis;

/// A request that runs on the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The caller's identifier.
    pub id: u64,
    /// Whether it may run again.
    pub idempotent: bool,
    /// Expected time until it ends.
    pub remaining: Millis,
    /// Tokens that would be computed again without its KV cache: the prompt and what was answered.
    pub tokens: u64,
    /// Time that the export of its KV cache takes; `None` if the engine can't export it.
    pub export_time: Option<Millis>,
}

/// What to do with a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Leave it to end.
    Finish(u64),
    /// Leave it, since it can't be moved, though it will hardly end in time.
    AtRisk(u64),
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
    pub saved_tokens: u64,
    /// Tokens that will be computed again.
    pub recomputed_tokens: u64,
}

/// An export that may be made.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: u64,
    tokens: u64,
    export_ms: u64,
}

impl Drain {
    /// The steps for `streams` of a replica that ends in `left`, keeping `margin` of it unused.
    pub fn new(requests: &[Request], notice: Millis, margin: Millis) -> Self {
        let mut drain = Self::default();
        let usable = notice - margin;
        let mut candidates = Vec::new();
        let mut unexportable = Vec::new();
        for request in requests {
            match request {
                _ if request.remaining <= usable => drain.steps.push(Step::Finish(request.id)),
                Request {
                    idempotent: false, ..
                } => drain.steps.push(Step::AtRisk(request.id)),
                Request {
                    id,
                    tokens,
                    export_time: Some(export_time),
                    ..
                } if *export_time <= usable => candidates.push(Candidate {
                    id: *id,
                    tokens: *tokens,
                    export_ms: export_time.0,
                }),
                _ => unexportable.push(request),
            }
        }
        let selection = select_exports(&mut candidates, usable.0);
        drain.push_exports(&candidates, &selection);
        for request in unexportable {
            drain.push_recompute(request.id, request.tokens);
        }
        drain
    }

    fn push_exports(&mut self, candidates: &[Candidate], selection: &Selection) {
        for (index, it) in candidates.iter().enumerate() {
            if selection.contains(index) {
                self.steps.push(Step::Export(it.id));
                self.saved_tokens += it.tokens;
            }
        }
        for (index, it) in candidates.iter().enumerate() {
            if !selection.contains(index) {
                self.push_recompute(it.id, it.tokens);
            }
        }
    }

    fn push_recompute(&mut self, id: u64, tokens: u64) {
        self.steps.push(Step::Recompute(id));
        self.recomputed_tokens += tokens;
    }
}

/// Which of the sorted candidates are exported.
#[derive(Debug)]
enum Selection {
    Several(Vec<bool>),
    Single(usize),
}

impl Selection {
    fn contains(&self, index: usize) -> bool {
        match self {
            Self::Several(selected) => selected[index],
            Self::Single(selected) => *selected == index,
        }
    }
}

/// Sorts by tokens saved a millisecond and takes what fits, or the single largest if that saves more; together they
/// save at least half of what the best choice would.
fn select_exports(candidates: &mut [Candidate], usable_ms: u64) -> Selection {
    let tokens_per_ms = |it: &Candidate| it.tokens as f64 / it.export_ms.max(1) as f64;
    candidates.sort_by(|a, b| {
        tokens_per_ms(b)
            .total_cmp(&tokens_per_ms(a))
            .then(a.id.cmp(&b.id))
    });
    let mut left_ms = usable_ms;
    let mut saved = 0;
    let mut selected = vec![false; candidates.len()];
    for (index, it) in candidates.iter().enumerate() {
        if it.export_ms <= left_ms {
            left_ms -= it.export_ms;
            saved += it.tokens;
            selected[index] = true;
        }
    }
    let largest = candidates.iter().enumerate().max_by_key(|it| it.1.tokens);
    match largest {
        Some((index, it)) if it.tokens > saved => Selection::Single(index),
        _ => Selection::Several(selected),
    }
}
