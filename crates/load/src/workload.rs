//! Open-loop workload generator. Arrival times and operations are derived from the seed alone.

pub mod arrival;
pub mod generator;
pub mod operation;
pub mod shape;
pub mod stream;

pub use arrival::Arrival;
pub use generator::generate;
pub use operation::Operation;
pub use shape::Shape;
pub use stream::Stream;
