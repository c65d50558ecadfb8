//! Open-loop arrivals: when callers come and what they ask, drawn from a seed alone.

pub mod arrival;
pub mod ask;
pub mod generator;
pub mod shape;
pub mod stream;

pub use arrival::Arrival;
pub use ask::Ask;
pub use generator::generate;
pub use shape::Shape;
pub use stream::Stream;
