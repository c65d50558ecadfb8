//! Rollouts: canary shares, evidence, vetoes, done and undone.
