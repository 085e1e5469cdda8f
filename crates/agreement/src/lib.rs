//! agreement
