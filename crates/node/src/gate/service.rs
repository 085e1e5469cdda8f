//! Stand-in for the gate: finds the route and sends every request to the first
//! serving target. It decides nothing else.

use std::rc::Rc;
use std::time::{Duration, Instant};

use futures::future::{self, Either};
use masticarch_kernel::{mailbox, reply, stop};
use masticarch_model::{code, directory, target};
use slotmap::SlotMap;

use super::{admission, choice, key, message, request};
use crate::{metrics, options, origin, refusal};

struct Gate {
    options: Rc<options::Options>,
    directory: Rc<directory::Directory>,
    flights: SlotMap<key::RequestKey, choice::Choice>,
    draining: bool,
}

/// Runs the service until asked to stop.
pub async fn run(
    mut mailbox: mailbox::Mailbox<message::Message>,
    options: Rc<options::Options>,
    _metrics: metrics::Metrics,
    stop: stop::Stop,
) {
    let mut gate = Gate {
        options,
        directory: Rc::default(),
        flights: SlotMap::with_key(),
        draining: false,
    };
    let mut stopped = std::pin::pin!(stop.wait());
    loop {
        let next = std::pin::pin!(mailbox.receive());
        match future::select(stopped.as_mut(), next).await {
            Either::Right((Some(message), _)) => gate.handle(message),
            _ => return,
        }
    }
}

impl Gate {
    fn handle(&mut self, message: message::Message) {
        match message {
            message::Message::Begin(request, reply) => {
                let _ = reply.send(self.begin(&request));
            }
            message::Message::Next(_, _, reply) => {
                let _ = reply.send(None);
            }
            message::Message::Credit(key, _, _, reply) => {
                let _ = reply.send(self.flights.get(key).cloned());
            }
            message::Message::End(key, _, reply) => self.end(key, reply),
            message::Message::Install(directory, _) => self.directory = directory,
            message::Message::Current(_) | message::Message::Granted(..) => {}
            message::Message::Reports(reply) => {
                let _ = reply.send(Vec::new());
            }
            message::Message::Drain => self.draining = true,
        }
    }

    fn begin(
        &mut self,
        request: &request::Request,
    ) -> Result<admission::Admission, refusal::Refusal> {
        if self.draining && matches!(request.origin, origin::Origin::Caller(_)) {
            return Err(refusal::Refusal::new(code::Code::Draining, "draining"));
        }
        let directory = &self.directory;
        let route = directory
            .route(&request.path)
            .and_then(|key| directory.routes.get(key))
            .ok_or_else(|| refusal::Refusal::new(code::Code::NoRoute, "no route"))?;
        let service = &directory.services[route.service];
        let target = service
            .targets
            .iter()
            .copied()
            .find(|key| directory.targets[*key].record.state == target::State::Serving)
            .ok_or_else(|| refusal::Refusal::new(code::Code::NoTarget, "no target"))?;
        let node = &directory.nodes[directory.targets[target].node];
        let timeout = request
            .remaining
            .unwrap_or(route.timeout)
            .min(route.timeout);
        let choice = choice::Choice {
            target,
            node: node.name.clone(),
            incarnation: node.incarnation,
            peer: (node.name != self.options.name).then_some(node.peer),
            credit: route.retries,
            repeat: false,
            timeout,
        };
        let key = self.flights.insert(choice.clone());
        Ok(admission::Admission {
            request: key,
            root: request.id.clone().unwrap_or_else(|| "generated".into()),
            recognised: request.id.is_some(),
            team: None,
            route: route.name.clone(),
            service: service.name.clone(),
            weight: 1,
            rank: route.rank,
            deadline: Instant::now() + timeout.max(Duration::from_millis(1)),
            idempotent: route.idempotent,
            choice,
        })
    }

    fn end(&mut self, key: key::RequestKey, reply: Option<reply::Reply<message::Total>>) {
        let choice = self.flights.remove(key);
        if let Some(reply) = reply {
            let _ = reply.send(message::Total {
                credit: choice.map_or(0, |choice| choice.credit),
                executions: Some(1),
            });
        }
    }
}
