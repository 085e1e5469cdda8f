//! Stand-in for admission: lets every request run and keeps the running calls.

use std::net::SocketAddr;
use std::rc::Rc;

use futures::channel::oneshot;
use futures::future::{self, Either};
use masticarch_kernel::{mailbox, stop};
use masticarch_model::{code, map, name, target};
use slotmap::{Key, SlotMap};

use super::{entry, key, message, permit, summary};
use crate::{metrics, options, origin, refusal};

struct Running {
    entry: entry::Entry,
    ended: stop::Stop,
    _alive: oneshot::Sender<()>,
}

#[derive(Default)]
struct Admission {
    targets: map::Map<name::Name, (target::Target, SocketAddr)>,
    calls: SlotMap<key::CallKey, Running>,
}

/// Runs the service until asked to stop.
pub async fn run(
    mut mailbox: mailbox::Mailbox<message::Message>,
    _options: Rc<options::Options>,
    _metrics: metrics::Metrics,
    stop: stop::Stop,
) {
    let mut admission = Admission::default();
    let mut stopped = std::pin::pin!(stop.wait());
    loop {
        let next = std::pin::pin!(mailbox.receive());
        match future::select(stopped.as_mut(), next).await {
            Either::Right((Some(message), _)) => admission.handle(message),
            _ => return,
        }
    }
}

impl Admission {
    fn handle(&mut self, message: message::Message) {
        match message {
            message::Message::Enter(entry, reply) => {
                let _ = reply.send(self.enter(*entry));
            }
            message::Message::Leave(key, _, reply) => {
                let call = self.calls.remove(key);
                let credit = call.map_or(0, |call| call.entry.credit);
                let _ = reply.send(summary(credit));
            }
            message::Message::Lend(context, reply) => {
                let _ = reply.send(self.lend(&context));
            }
            message::Message::Return(..) => {}
            message::Message::Target(target, address) => {
                self.targets.remove(&target.service);
                if let Some(address) = address {
                    let service = target.service.clone();
                    self.targets.insert(service, (target, address));
                }
            }
            message::Message::Status(reply) => {
                let targets = self.targets.values();
                let list = targets.map(|(target, _)| (target.clone(), summary(0)));
                let _ = reply.send(list.collect());
            }
        }
    }

    fn enter(&mut self, entry: entry::Entry) -> Result<permit::Permit, message::Denial> {
        let Some((_, address)) = self.targets.get(&entry.service) else {
            let refusal = refusal::Refusal::new(code::Code::NoTarget, "no such target here");
            return Err((refusal, summary(entry.credit)));
        };
        let address = *address;
        let (alive, ended) = stop::Stop::new();
        let call = self.calls.insert(Running {
            entry,
            ended,
            _alive: alive,
        });
        Ok(permit::Permit {
            call,
            context: format!("{:032x}", call.data().as_ffi()).into(),
            address,
        })
    }

    fn lend(&self, context: &str) -> Option<origin::Loan> {
        let bits = u64::from_str_radix(context, 16).ok()?;
        let parent = key::CallKey::from(slotmap::KeyData::from_ffi(bits));
        let call = self.calls.get(parent)?;
        Some(origin::Loan {
            parent,
            root: call.entry.root.clone(),
            team: call.entry.team.clone(),
            rank: call.entry.rank,
            deadline: call.entry.deadline,
            credit: 0,
            repeat: call.entry.repeat,
            ended: call.ended.clone(),
        })
    }
}

fn summary(credit: u8) -> summary::Summary {
    summary::Summary {
        credit,
        executions: Some(1),
        overload: u8::MAX,
        limit: 1,
        in_flight: 0,
    }
}
