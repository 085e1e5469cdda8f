//! Errors in HTTP messages and their connections.

use masticarch_model::code;
use quick_error::quick_error;

quick_error! {
    /// Why a message cannot be received or sent. After any of these errors the
    /// connection must be closed.
    #[derive(Debug)]
    pub enum Fault {
        /// The connection broke or was closed by the other side.
        Closed {
            display("the connection was closed")
        }
        /// The head or the framing of the body is not valid HTTP/1.1.
        Malformed(detail: &'static str) {
            display("malformed message: {detail}")
        }
        /// The head exceeds a limit.
        HeadTooLarge(detail: &'static str) {
            display("head too large: {detail}")
        }
        /// The body exceeds its limit.
        BodyTooLarge {
            display("the body exceeds the limit")
        }
        /// The budget for buffered bodies is used up.
        BufferFull {
            display("no space is left for the body")
        }
        /// The message did not arrive in time.
        Slow {
            display("the message did not arrive in time")
        }
        /// The connection ended within the body.
        Truncated {
            display("the connection ended within the body")
        }
        /// More than one header states the length of the body.
        ConflictingLength {
            display("the length headers contradict each other")
        }
    }
}

impl Fault {
    /// The result code for a request that could not be received.
    #[must_use]
    pub const fn request_code(&self) -> code::Code {
        match self {
            Self::Closed | Self::Truncated => code::Code::BodyTruncated,
            Self::Malformed(_) => code::Code::BadRequest,
            Self::HeadTooLarge(_) => code::Code::HeadTooLarge,
            Self::BodyTooLarge => code::Code::BodyTooLarge,
            Self::BufferFull => code::Code::BufferFull,
            Self::Slow => code::Code::SlowSender,
            Self::ConflictingLength => code::Code::ConflictingLength,
        }
    }

    /// The result code for a request whose answer could not be received from the
    /// target.
    #[must_use]
    pub const fn answer_code(&self) -> code::Code {
        match self {
            Self::Truncated => code::Code::AnswerTruncated,
            // `Code::BufferFull` would say that the request did not run, but the
            // target has executed it.
            Self::BodyTooLarge | Self::BufferFull => code::Code::AnswerTooLarge,
            Self::Slow => code::Code::TargetTimeout,
            Self::Closed | Self::Malformed(_) | Self::HeadTooLarge(_) | Self::ConflictingLength => {
                code::Code::TargetFailed
            }
        }
    }
}

impl From<std::io::Error> for Fault {
    fn from(_: std::io::Error) -> Self {
        Self::Closed
    }
}
