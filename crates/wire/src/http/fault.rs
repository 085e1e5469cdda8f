//! What can be wrong with a message or its connection.

use masticarch_model::code;
use quick_error::quick_error;

quick_error! {
    /// What can be wrong with a message or its connection. After any of these
    /// the connection is closed.
    #[derive(Debug)]
    pub enum Fault {
        /// The connection broke or was closed by the other side.
        Closed {
            display("the connection was closed")
        }
        /// The head is malformed.
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
        /// No space is left for another body.
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
        /// The length headers contradict each other.
        ConflictingLength {
            display("the length headers contradict each other")
        }
    }
}

impl Fault {
    /// The result code for the sender of a faulty request.
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

    /// The result code for the caller of a target with a faulty answer.
    #[must_use]
    pub const fn answer_code(&self) -> code::Code {
        match self {
            Self::Truncated => code::Code::AnswerTruncated,
            // The target has run, which the code for a full buffer would deny.
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
