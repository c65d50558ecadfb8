//! Drain plan for the running requests of a replica that received a reclaim notice.
//!
//! The replica receives no new requests after the notice. A request that finishes in time is left running. A
//! non-idempotent request can't be moved. A longer idempotent request continues on another replica: with its KV cache
//! if there is time to export it, otherwise by recomputing its tokens. The available time is spent on the exports that
//! save the most tokens.

use base::Millis;

/// A request that is running on the replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The caller's identifier.
    pub id: u64,
    /// Whether it may run more than once.
    pub idempotent: bool,
    /// Expected time until it finishes.
    pub remaining: Millis,
    /// Tokens to recompute without its KV cache: the prompt and the tokens generated so far.
    pub tokens: u64,
    /// Time to export its KV cache; `None` if the engine can't export it.
    pub export_time: Option<Millis>,
}

/// How one request is drained. Each variant holds the id of the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Leave it running; it finishes in time.
    Finish(u64),
    /// Leave it running although it is not expected to finish in time, because it can't be moved.
    AtRisk(u64),
    /// Export its KV cache, then continue on another replica. Exports run one after another, in the order of the steps.
    Export(u64),
    /// Continue on another replica immediately and recompute its tokens.
    Recompute(u64),
}

/// The drain plan of one replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Drain {
    /// One step per request: requests left running, then the exports in order, then the recomputed requests.
    pub steps: Vec<Step>,
    /// Tokens whose recomputation the exports avoid.
    pub saved_tokens: u64,
    /// Tokens that will be recomputed.
    pub recomputed_tokens: u64,
}

/// A request whose KV cache could be exported in time.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    id: u64,
    tokens: u64,
    export_ms: u64,
}

impl Drain {
    /// Plans the drain of `requests` on a replica that ends after `notice`, of which `margin` is kept unused.
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

/// The candidates to export, by index into the sorted candidates.
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

/// Sorts the candidates by tokens saved per millisecond and selects greedily what fits, or the single largest candidate
/// if that saves more. This saves at least half as many tokens as the optimal selection.
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
