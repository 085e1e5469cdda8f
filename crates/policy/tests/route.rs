//! Load balancing over targets in the same domain, region and other regions.

use std::time::Duration;

use fastrand::Rng;
use masticarch_policy::route::{load, locality, pool};

fn idle(locality: locality::Locality) -> load::Load {
    load::Load {
        locality,
        in_flight: 0,
        limit: 10,
        latency: Duration::from_millis(50),
        shedding: false,
    }
}

fn pool_of(localities: &[locality::Locality]) -> pool::Pool<usize> {
    let mut pool = pool::Pool::default();
    for (key, locality) in localities.iter().enumerate() {
        pool.add(key, *locality);
    }
    pool
}

const NEAR_AND_FAR: [locality::Locality; 3] = [
    locality::Locality::Domain,
    locality::Locality::Region,
    locality::Locality::Remote,
];

// Guards against traffic on the billed links between regions without need.
#[test]
fn stays_in_the_region_while_it_has_capacity() {
    let mut rng = Rng::with_seed(1);
    let pool = pool_of(&NEAR_AND_FAR);

    let choices: Vec<_> = (0..100)
        .map(|_| pool.choose(&mut rng, |_| true, |key| idle(NEAR_AND_FAR[key])))
        .collect();

    assert!(
        choices.iter().all(|choice| *choice == Some(0)),
        "{choices:?}"
    );
}

// Guards against requests that stay in an overloaded region while another one is
// idle.
#[test]
fn spills_when_the_region_is_far_more_expensive() {
    let mut rng = Rng::with_seed(1);
    let pool = pool_of(&NEAR_AND_FAR);
    let load = |key: usize| load::Load {
        in_flight: if key == 2 { 0 } else { 10 },
        ..idle(NEAR_AND_FAR[key])
    };

    let choice = pool.choose(&mut rng, |_| true, load);

    assert_eq!(choice, Some(2));
}

// Guards against requests without a target because none of the region is usable.
#[test]
fn spills_when_the_region_has_no_usable_target() {
    let mut rng = Rng::with_seed(1);
    let pool = pool_of(&NEAR_AND_FAR);

    let choice = pool.choose(&mut rng, |key| key == 2, |key| idle(NEAR_AND_FAR[key]));

    assert_eq!(choice, Some(2));
}

// Guards against a usable target that is not found because random draws miss it.
#[test]
fn finds_the_only_usable_target() {
    let mut rng = Rng::with_seed(1);
    let pool = pool_of(&[locality::Locality::Domain; 200]);

    let choices: Vec<_> = (0..20)
        .map(|_| {
            pool.choose(
                &mut rng,
                |key| key == 137,
                |_| idle(locality::Locality::Domain),
            )
        })
        .collect();

    assert_eq!(choices, vec![Some(137); 20]);
}

// Guards against load concentrated on one target.
#[test]
fn spreads_load_evenly() {
    let mut rng = Rng::with_seed(1);
    let pool = pool_of(&[locality::Locality::Domain; 10]);
    let mut in_flight = [0_u32; 10];

    for _ in 0..1000 {
        let load = |key: usize| load::Load {
            in_flight: in_flight[key],
            ..idle(locality::Locality::Domain)
        };
        let key = pool.choose(&mut rng, |_| true, load).unwrap();
        in_flight[key] += 1;
    }

    assert!(
        in_flight.iter().all(|count| (90..=110).contains(count)),
        "{in_flight:?}"
    );
}

// Guards against requests to a target that has announced that it sheds them.
#[test]
fn avoids_targets_that_shed() {
    let mut rng = Rng::with_seed(1);
    let pool = pool_of(&[locality::Locality::Domain; 2]);
    let load = |key| load::Load {
        shedding: key == 0,
        ..idle(locality::Locality::Domain)
    };

    let choice = pool.choose(&mut rng, |_| true, load);

    assert_eq!(choice, Some(1));
}

// Guards against traffic between failure domains or regions while a target in the
// same domain has capacity, even if that one is slower.
#[test]
fn slower_target_nearby_is_used_while_it_is_not_busy() {
    let mut rng = Rng::with_seed(1);
    let pool = pool_of(&NEAR_AND_FAR);
    let load = |key: usize| load::Load {
        in_flight: [7, 0, 0][key],
        latency: Duration::from_millis(500),
        ..idle(NEAR_AND_FAR[key])
    };

    let choice = pool.choose(&mut rng, |_| true, load);

    assert_eq!(choice, Some(0));
}

// Guards against requests to a busy target while another one in the region is idle.
#[test]
fn busy_target_gives_way_to_its_neighbour() {
    let mut rng = Rng::with_seed(1);
    let pool = pool_of(&NEAR_AND_FAR);
    let load = |key: usize| load::Load {
        in_flight: [8, 0, 0][key],
        ..idle(NEAR_AND_FAR[key])
    };

    let choice = pool.choose(&mut rng, |_| true, load);

    assert_eq!(choice, Some(1));
}
