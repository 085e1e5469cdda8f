//! cli
