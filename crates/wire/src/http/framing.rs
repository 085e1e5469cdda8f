//! Framing of message bodies, RFC 9112 section 6.

use http::{HeaderMap, Method, StatusCode, header};

use super::fault;

/// How the end of a body is marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    None,
    /// The body has this many bytes.
    Length(usize),
    /// The body has the chunked transfer coding.
    Chunked,
    /// The body ends when the sender closes the connection.
    UntilClose,
}

impl Framing {
    /// Framing of a request.
    ///
    /// # Errors
    /// [`fault::Fault::ConflictingLength`] or [`fault::Fault::Malformed`].
    pub fn request(headers: &HeaderMap) -> Result<Self, fault::Fault> {
        Ok(Self::declared(headers)?.unwrap_or(Self::None))
    }

    /// Framing of an answer to a request with this method. A body without a length
    /// ends when the sender closes the connection; after a reset it is truncated.
    ///
    /// # Errors
    /// As [`Self::request`].
    pub fn answer(
        method: &Method,
        status: StatusCode,
        headers: &HeaderMap,
    ) -> Result<Self, fault::Fault> {
        let declared = Self::declared(headers)?;
        let bodiless = *method == Method::HEAD
            || status.is_informational()
            || status == StatusCode::NO_CONTENT
            || status == StatusCode::NOT_MODIFIED;
        if bodiless {
            return Ok(Self::None);
        }
        Ok(declared.unwrap_or(Self::UntilClose))
    }

    fn declared(headers: &HeaderMap) -> Result<Option<Self>, fault::Fault> {
        let mut lengths = headers.get_all(header::CONTENT_LENGTH).iter();
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        let length = lengths.next();
        let coding = codings.next();
        if lengths.next().is_some() || codings.next().is_some() {
            return Err(fault::Fault::ConflictingLength);
        }
        match (length, coding) {
            (None, None) => Ok(None),
            (Some(_), Some(_)) => Err(fault::Fault::ConflictingLength),
            (Some(length), None) => {
                parse(length.as_bytes()).map(|length| Some(Self::Length(length)))
            }
            (None, Some(coding)) if coding.as_bytes().eq_ignore_ascii_case(b"chunked") => {
                Ok(Some(Self::Chunked))
            }
            (None, Some(_)) => Err(fault::Fault::Malformed("unsupported transfer coding")),
        }
    }
}

fn parse(text: &[u8]) -> Result<usize, fault::Fault> {
    let digits = !text.is_empty() && text.iter().all(u8::is_ascii_digit);
    std::str::from_utf8(text)
        .ok()
        .filter(|_| digits)
        .and_then(|text| text.parse().ok())
        .ok_or(fault::Fault::Malformed("content-length is not a length"))
}
