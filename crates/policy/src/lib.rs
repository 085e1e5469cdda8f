//! policy
