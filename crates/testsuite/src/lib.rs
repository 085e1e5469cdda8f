//! testsuite
