//! Generator of arrivals.

use base::Seed;
use base::seed::Generator;
use rand::RngExt;

use super::operation::Question;
use super::stream::{Questions, Work};
use super::{Arrival, Operation, Stream};

/// Microseconds per second.
const US_PER_S: f64 = 1_000_000.0;

/// Generates the arrivals of a run of `span_us` microseconds, ordered by due time. Each stream is a Poisson process
/// whose rate follows the shape of the stream.
pub fn generate(streams: &[Stream], span_us: u64, seed: Seed) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let random = seed.derive(index as u64 + 1).generator();
        let mut source = Source {
            index,
            span_us,
            random,
            question_count: 0,
        };
        source.generate(stream, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.due_us);
    arrivals
}

#[derive(Debug)]
struct Source {
    index: usize,
    span_us: u64,
    random: Generator,
    question_count: u64,
}

impl Source {
    /// Generates arrivals by thinning: draws candidates at the peak rate and accepts each with the probability given by
    /// the shape.
    fn generate(&mut self, stream: &Stream, arrivals: &mut Vec<Arrival>) {
        let mut time_us = 0.0;
        loop {
            time_us += self.exponential() * US_PER_S / stream.rate_per_s;
            let fraction = time_us / self.span_us as f64;
            if fraction >= 1.0 || !fraction.is_finite() {
                return;
            }
            if self.random.random::<f64>() < stream.shape.factor(fraction) {
                self.add_arrival(time_us as u64, &stream.work, arrivals);
            }
        }
    }

    fn add_arrival(&mut self, due_us: u64, work: &Work, arrivals: &mut Vec<Arrival>) {
        let operation = match work {
            Work::TopUp { accounts } => Operation::TopUp {
                account: self.random.random_range(0..*accounts),
            },
            Work::Balance { accounts } => Operation::Balance {
                account: self.random.random_range(0..*accounts),
            },
            Work::Post { path } => Operation::Post { path: path.clone() },
            Work::Questions(questions) => return self.add_questions(due_us, questions, arrivals),
        };
        arrivals.push(self.arrival(due_us, operation));
    }

    /// Adds a first question and its follow-up questions that fall within the run.
    fn add_questions(&mut self, due_us: u64, questions: &Questions, arrivals: &mut Vec<Arrival>) {
        // Squaring the draw makes files with a low index the most popular.
        let draw = self.random.random::<f64>();
        let file = (draw * draw * f64::from(questions.files)) as u32;
        let follow_ups = self.random.random_range(0..=questions.follow_ups);
        let mut follow_up_us = due_us;
        for _ in 0..=follow_ups {
            if follow_up_us >= self.span_us {
                return;
            }
            let operation = Operation::Question(self.question(file, questions));
            arrivals.push(self.arrival(follow_up_us, operation));
            follow_up_us += (self.exponential() * questions.think_ms as f64 * 1_000.0) as u64;
        }
    }

    fn question(&mut self, file: u32, questions: &Questions) -> Question {
        self.question_count += 1;
        Question {
            stream: self.index,
            file,
            file_tokens: questions.file_tokens,
            number: self.question_count,
            question_tokens: questions.question_tokens,
            answer_tokens: self
                .random
                .random_range(questions.answer_min..=questions.answer_max),
        }
    }

    fn arrival(&self, due_us: u64, operation: Operation) -> Arrival {
        Arrival {
            due_us,
            stream: self.index,
            operation,
        }
    }

    /// Draws from the exponential distribution with mean 1.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.random.random::<f64>()).ln()
    }
}
