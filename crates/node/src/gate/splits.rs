//! Traffic splits: routes whose requests go to several services.

use fastrand::Rng;
use masticarch_model::{directory, map, name};
use masticarch_policy::route::split;

/// State of the split of each route that has several services. It is kept over
/// changes of the directory, so that frequent changes do not favour a service.
#[derive(Debug, Default)]
pub struct Splits {
    routes: map::Map<name::Name, split::Split>,
}

impl Splits {
    /// Drops the routes that the directory no longer contains.
    pub fn install(&mut self, directory: &directory::Directory) {
        self.routes
            .retain(|name, _| directory.route_named(name).is_some());
    }

    /// The service that takes the next request of a route.
    pub fn choose(
        &mut self,
        route: &directory::Route,
        rng: &mut Rng,
    ) -> Option<directory::ServiceKey> {
        if let [only] = route.destinations.as_slice() {
            return Some(only.service);
        }
        let weights = route
            .destinations
            .iter()
            .map(|destination| destination.weight);
        let split = self.routes.entry(route.name.clone()).or_default();
        let index = split.choose(weights, || rng.f64())?;
        Some(route.destinations[index].service)
    }
}
