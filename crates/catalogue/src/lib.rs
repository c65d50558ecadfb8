//! The catalogue of endpoints: its TOML format, checks, differences and generations.
