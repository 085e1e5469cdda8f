//! Detects crashes of the targets beside this node, from the connections that they end.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use masticarch_model::{map, name};
use masticarch_policy::quarantine::suspect;

use super::crash;

/// Time in which the node notices the end of all connections of a target that has ended.
const GROUP_WINDOW: Duration = Duration::from_millis(25);
/// Time in which a target that accepts connections again announces its new run.
const RESTART_WINDOW: Duration = Duration::from_secs(5);
/// Time for which a request that was given up is still taken to run.
const ABANDONED_WINDOW: Duration = Duration::from_secs(1);
/// Most abandoned requests that are remembered for each target.
const MAX_ABANDONED: usize = 128;
/// Most requests that are taken to have run at a crash.
const MAX_SUSPECTS: usize = 1024;

/// Detects crashes of the targets beside this node.
#[derive(Debug, Default)]
pub struct Detector {
    targets: map::Map<name::Name, Target>,
}

#[derive(Debug, Default)]
struct Target {
    leaving: bool,
    outage: Option<Outage>,
    abandoned: VecDeque<Abandoned>,
}

#[derive(Debug)]
struct Abandoned {
    suspect: suspect::Suspect,
    at: Instant,
}

/// Connections that a target has ended at about the same time.
#[derive(Debug)]
struct Outage {
    began: Instant,
    run: Option<Box<str>>,
    suspects: Vec<suspect::Suspect>,
    probe: Probe,
}

/// Whether the target still accepts connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Probe {
    Pending,
    Accepted,
    Refused,
}

impl Detector {
    /// Records a request whose connection was closed without a whole answer. Returns
    /// whether the target is to be probed.
    pub fn lost(&mut self, suspect: suspect::Suspect, run: Option<Box<str>>, now: Instant) -> bool {
        let target = self.targets.entry(suspect.service.clone()).or_default();
        if target.leaving {
            return false;
        }
        if let Some(outage) = &mut target.outage
            && !outage.is_over(now)
        {
            outage.add(suspect);
            return false;
        }
        target.outage = Some(Outage {
            began: now,
            run,
            suspects: vec![suspect],
            probe: Probe::Pending,
        });
        true
    }

    /// Records a request that was given up while its target may still run it.
    pub fn abandoned(&mut self, suspect: suspect::Suspect, now: Instant) {
        let target = self.targets.entry(suspect.service.clone()).or_default();
        if target.abandoned.len() >= MAX_ABANDONED {
            target.abandoned.pop_front();
        }
        target.abandoned.push_back(Abandoned { suspect, at: now });
    }

    /// Records that a target accepts no connection. If requests were given up there a short
    /// time ago, one of them may have crashed it.
    pub fn unreachable(&mut self, service: &name::Name, now: Instant) {
        let Some(target) = self.targets.get_mut(service) else {
            return;
        };
        let recent = |abandoned: &Abandoned| now < abandoned.at + ABANDONED_WINDOW;
        let is_suspicious = target.abandoned.iter().any(recent);
        if is_suspicious && !target.leaving && target.outage.is_none() {
            target.outage = Some(Outage {
                began: now,
                run: None,
                suspects: Vec::new(),
                probe: Probe::Refused,
            });
        }
    }

    /// Records whether a target accepts connections.
    pub fn probed(&mut self, service: &name::Name, accepted: bool) {
        if let Some(outage) = self.outage_mut(service) {
            outage.probe = if accepted {
                Probe::Accepted
            } else {
                Probe::Refused
            };
        }
    }

    /// Records that a target has announced another run: the one before has ended.
    pub fn restarted(&mut self, service: &name::Name) {
        if let Some(outage) = self.outage_mut(service) {
            outage.probe = Probe::Refused;
        }
    }

    /// Records whether a target is about to end in an orderly way, which is no crash.
    pub fn set_leaving(&mut self, service: &name::Name, leaving: bool) {
        self.targets.entry(service.clone()).or_default().leaving = leaving;
    }

    /// Takes a crash whose requests are all known.
    pub fn take_crash(&mut self, now: Instant) -> Option<crash::Crash> {
        let due = |outage: &Outage| outage.wake().is_some_and(|wake| wake <= now);
        let (service, target) = self
            .targets
            .iter_mut()
            .find(|(_, target)| target.outage.as_ref().is_some_and(due))?;
        let mut outage = target.outage.take()?;
        let running = outage.began.checked_sub(ABANDONED_WINDOW);
        for abandoned in target.abandoned.drain(..) {
            if running.is_none_or(|running| abandoned.at >= running) {
                outage.add(abandoned.suspect);
            }
        }
        Some(crash::Crash {
            service: service.clone(),
            run: outage.run,
            suspects: outage.suspects,
        })
    }

    /// Whether it is not known yet if a target has crashed.
    #[must_use]
    pub fn is_settling(&self, service: &name::Name) -> bool {
        let target = self.targets.get(service);
        let outage = target.and_then(|target| target.outage.as_ref());
        outage.is_some_and(|outage| outage.probe != Probe::Accepted)
    }

    /// When [`Self::take_crash`] may return the next crash.
    pub fn wake(&self) -> Option<Instant> {
        let outages = self
            .targets
            .values()
            .filter_map(|target| target.outage.as_ref());
        outages.filter_map(Outage::wake).min()
    }

    fn outage_mut(&mut self, service: &name::Name) -> Option<&mut Outage> {
        self.targets.get_mut(service)?.outage.as_mut()
    }
}

impl Outage {
    /// Whether connections that end now belong to another outage.
    fn is_over(&self, now: Instant) -> bool {
        let age = now.saturating_duration_since(self.began);
        match self.probe {
            Probe::Pending => age >= RESTART_WINDOW,
            Probe::Accepted => age >= GROUP_WINDOW,
            Probe::Refused => false,
        }
    }

    fn wake(&self) -> Option<Instant> {
        (self.probe == Probe::Refused).then(|| self.began + GROUP_WINDOW)
    }

    fn add(&mut self, suspect: suspect::Suspect) {
        let mut suspects = self.suspects.iter();
        let is_known = suspects.any(|known| known.fingerprint == suspect.fingerprint);
        if self.suspects.len() < MAX_SUSPECTS && !is_known {
            self.suspects.push(suspect);
        }
    }
}
