//! Frames between nodes, carried over QUIC.
