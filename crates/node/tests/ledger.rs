//! The ledger, which keeps the retry credit of request ids.

use std::time::{Duration, Instant};

use masticarch_kernel::{address, mailbox, runtime, stop};
use masticarch_model::{attempt, code, incarnation};
use masticarch_node::ledger::{message, service};
use masticarch_node::refusal;

type Outcome = Result<message::Allowance, refusal::Refusal>;

fn with_ledger<F, T>(test: impl FnOnce(address::Address<message::Message>) -> F) -> T
where
    F: Future<Output = T>,
{
    runtime::run(async {
        let (address, mailbox) = mailbox::Mailbox::new(8);
        let (_sender, stop) = stop::Stop::new();
        monoio::spawn(service::run(mailbox, stop));
        test(address).await
    })
    .unwrap()
}

fn attempt(sequence: u64) -> attempt::Attempt {
    attempt::Attempt {
        node: incarnation::Incarnation(1),
        sequence,
    }
}

async fn begin(ledger: &address::Address<message::Message>, sequence: u64) -> Outcome {
    let build = |reply| message::Message::Begin {
        id: "team/id".into(),
        attempt: attempt(sequence),
        credit: 3,
        deadline: Instant::now() + Duration::from_secs(2),
        reply,
    };
    ledger.ask(build).await.unwrap()
}

// Guards against a resend that runs while the first attempt still runs, or that gets
// the full credit again after it.
#[test]
fn resend_waits_for_the_end_and_gets_the_rest() {
    let (first, during, after) = with_ledger(|ledger| async move {
        let first = begin(&ledger, 1).await;
        let during = begin(&ledger, 2).await;
        let end = message::Message::End {
            id: "team/id".into(),
            attempt: attempt(1),
            credit: 1,
            executions: Some(3),
        };
        ledger.send(end).await.unwrap();
        (first, during, begin(&ledger, 3).await)
    });

    let allowance = |credit, repeat| Ok(message::Allowance { credit, repeat });
    assert_eq!(first, allowance(3, false));
    assert_eq!(during.unwrap_err().code, code::Code::StillRunning);
    assert_eq!(after, allowance(1, true));
}
