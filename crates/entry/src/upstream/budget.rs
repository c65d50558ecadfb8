//! The decision on who may hold how much of a common memory.

/// Memory that many holders share. One that holds much is refused more before the others are: each may hold at most as
/// much as it would leave free.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Budget {
    limit: usize,
    used: usize,
}

/// The holder may not hold as much.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exhausted;

impl Budget {
    /// Creates a budget of this many bytes, none of which are in use.
    pub const fn new(limit: usize) -> Self {
        Self { limit, used: 0 }
    }

    /// Changes the number of bytes. Holders of more than that keep it.
    pub const fn set_limit(&mut self, limit: usize) {
        self.limit = limit;
    }

    /// Number of bytes in all.
    pub const fn limit(&self) -> usize {
        self.limit
    }

    /// Number of bytes in use.
    pub const fn used(&self) -> usize {
        self.used
    }

    /// Changes the bytes of one holder from `held` to `wanted`. Fewer are always allowed.
    pub const fn resize(&mut self, held: usize, wanted: usize) -> Result<(), Exhausted> {
        let others = self.used.saturating_sub(held);
        let free = self.limit.saturating_sub(others);
        if wanted > held && wanted > free / 2 {
            return Err(Exhausted);
        }
        self.used = others + wanted;
        Ok(())
    }
}
