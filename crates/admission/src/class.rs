//! Classes of requests, by urgency.

/// Highest value of a priority, which is the least urgent.
const MAX_PRIORITY: u8 = 9;

/// Class of a request. The order is that of urgency, the most urgent first: plain requests, then prompts by priority.
///
/// Plain requests come first since a prompt takes up to a hundred times as many tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Class(u8);

impl Class {
    /// Requests to endpoints without a model.
    pub const PLAIN: Self = Self(0);
    /// The least urgent prompts, and those that take only what others don't need.
    pub const LAST: Self = Self::prompt(MAX_PRIORITY);
    /// Number of classes.
    pub const COUNT: usize = MAX_PRIORITY as usize + 2;

    /// The class of prompts with this priority; 0 is the highest, and those above 9 count as 9.
    pub const fn prompt(priority: u8) -> Self {
        if priority > MAX_PRIORITY {
            Self(MAX_PRIORITY + 1)
        } else {
            Self(priority + 1)
        }
    }

    /// Position in the order of urgency; the most urgent has 0.
    pub const fn index(self) -> usize {
        self.0 as usize
    }

    /// Label used in logs and metrics.
    pub const fn label(self) -> &'static str {
        const LABELS: [&str; Class::COUNT] = [
            "plain", "prompt_0", "prompt_1", "prompt_2", "prompt_3", "prompt_4", "prompt_5", "prompt_6",
            "prompt_7", "prompt_8", "prompt_9",
        ];
        LABELS[self.index()]
    }
}
