//! Connections to the HTTP port. Each carries one request.

use std::io::Cursor;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, StatusCode, header};
use monoio::io::PrefixedReadIo;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio_http::common::request::Request;
use monoio_http::common::response::Response;
use monoio_http::h1::codec::ServerCodec;
use monoio_http::h1::payload::{FixedPayload, Payload};

use super::{head, resource};
use crate::{listener, services};

/// Time to decode a request whose head has arrived, and to write the response.
const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves one connection.
pub async fn serve(mut connection: listener::Connection, services: services::Services) {
    let Some(head) = head::read(&mut connection.stream).await else {
        return;
    };
    let stream = PrefixedReadIo::new(connection.stream, Cursor::new(head));
    let mut codec = ServerCodec::new(stream);
    let exchange = async {
        let request = codec.next().await.and_then(Result::ok);
        let resource = respond(&services, request).await;
        codec.send_and_flush(response(resource)).await
    };
    if let Ok(Err(error)) = monoio::time::timeout(EXCHANGE_TIMEOUT, exchange).await {
        tracing::debug!(%error, "admin connection closed");
    }
}

async fn respond(services: &services::Services, request: Option<Request>) -> resource::Resource {
    match request {
        Some(request) if *request.method() == Method::GET => {
            resource::find(services, request.uri().path()).await
        }
        Some(_) => resource::Resource {
            status: StatusCode::METHOD_NOT_ALLOWED,
            text: "only GET is served\n".to_owned(),
        },
        None => resource::Resource {
            status: StatusCode::BAD_REQUEST,
            text: "not a valid HTTP/1.1 request\n".to_owned(),
        },
    }
}

fn response(resource: resource::Resource) -> Response {
    let body = Payload::Fixed(FixedPayload::new(Bytes::from(resource.text)));
    let mut response = Response::new(body);
    *response.status_mut() = resource.status;
    let headers = response.headers_mut();
    let text = HeaderValue::from_static("text/plain; charset=utf-8");
    headers.insert(header::CONTENT_TYPE, text);
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    response
}
