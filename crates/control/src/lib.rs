//! control
