//! HTTP/1.1 connections that bound what a peer can send: the head of a message is
//! checked before the decoder gets it, and a body is read whole and within limits.

pub mod answer;
pub mod body;
pub mod budget;
pub mod connection;
pub mod fault;
pub mod fields;
pub mod framing;
pub mod head;
pub mod limits;
pub mod request;
