//! From streams to arrivals.

use base::Seed;
use base::seed::Generator;
use rand::RngExt;

use super::ask::Question;
use super::stream::{Questions, Work};
use super::{Arrival, Ask, Stream};

/// Microseconds of a second.
const SECOND_US: f64 = 1_000_000.0;

/// All arrivals of a run of `span_us` microseconds, by due time: a Poisson process whose rate follows each shape.
pub fn generate(streams: &[Stream], span_us: u64, seed: Seed) -> Vec<Arrival> {
    let mut arrivals = Vec::new();
    for (index, stream) in streams.iter().enumerate() {
        let random = seed.derive(index as u64 + 1).generator();
        let mut source = Source {
            index,
            span_us,
            random,
            questions: 0,
        };
        source.fill(stream, &mut arrivals);
    }
    arrivals.sort_by_key(|arrival| arrival.at_us);
    arrivals
}

#[derive(Debug)]
struct Source {
    index: usize,
    span_us: u64,
    random: Generator,
    questions: u64,
}

impl Source {
    /// Draws candidates at the peak rate and keeps each with the shape's chance.
    fn fill(&mut self, stream: &Stream, arrivals: &mut Vec<Arrival>) {
        let mut at = 0.0;
        loop {
            at += self.exponential() * SECOND_US / stream.rate_per_s;
            let part = at / self.span_us as f64;
            if part >= 1.0 || !part.is_finite() {
                return;
            }
            if self.random.random::<f64>() < stream.shape.factor(part) {
                self.arrive(at as u64, &stream.work, arrivals);
            }
        }
    }

    fn arrive(&mut self, at_us: u64, work: &Work, arrivals: &mut Vec<Arrival>) {
        let ask = match work {
            Work::TopUp { accounts } => Ask::TopUp {
                account: self.random.random_range(0..*accounts),
            },
            Work::Balance { accounts } => Ask::Balance {
                account: self.random.random_range(0..*accounts),
            },
            Work::Issue { path } => Ask::Issue { path: path.clone() },
            Work::Questions(questions) => return self.ask_on(at_us, questions, arrivals),
        };
        arrivals.push(self.arrival(at_us, ask));
    }

    /// A first question and its follow-ups, as far as they fall within the run.
    fn ask_on(&mut self, at_us: u64, questions: &Questions, arrivals: &mut Vec<Arrival>) {
        // The square makes the first files the most asked about.
        let draw = self.random.random::<f64>();
        let file = (draw * draw * f64::from(questions.files)) as u32;
        let follow_ups = self.random.random_range(0..=questions.follow_ups);
        let mut due = at_us;
        for _ in 0..=follow_ups {
            if due >= self.span_us {
                return;
            }
            let ask = Ask::Question(self.question(file, questions));
            arrivals.push(self.arrival(due, ask));
            due += (self.exponential() * questions.think_ms as f64 * 1_000.0) as u64;
        }
    }

    fn question(&mut self, file: u32, questions: &Questions) -> Question {
        self.questions += 1;
        Question {
            stream: self.index,
            file,
            file_tokens: questions.file_tokens,
            number: self.questions,
            question_tokens: questions.question_tokens,
            answer_tokens: self
                .random
                .random_range(questions.answer_min..=questions.answer_max),
        }
    }

    fn arrival(&self, at_us: u64, ask: Ask) -> Arrival {
        Arrival {
            at_us,
            stream: self.index,
            ask,
        }
    }

    /// A draw with mean 1.
    fn exponential(&mut self) -> f64 {
        -(1.0 - self.random.random::<f64>()).ln()
    }
}
