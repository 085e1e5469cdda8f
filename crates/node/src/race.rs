//! Runs two futures until one of them completes.

use std::future::Future;

use futures::future::{self, Either};

/// Returns the output of the future that completes first and drops the other one
/// before that. When both are ready the left one is taken. Large futures should be
/// boxed by the caller, since an argument of an async function takes its space
/// twice.
pub async fn race<L: Future, R: Future>(left: L, right: R) -> Either<L::Output, R::Output> {
    let left = std::pin::pin!(left);
    let right = std::pin::pin!(right);
    match future::select(left, right).await {
        Either::Left((output, _)) => Either::Left(output),
        Either::Right((output, _)) => Either::Right(output),
    }
}
