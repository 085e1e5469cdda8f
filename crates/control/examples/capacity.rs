//! Prints measurements for the capacity page as one JSON object per line: sizes of
//! messages, times of operations and memory, for two sizes of the fleet. Their
//! differences give the slopes.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::time::{Duration, Instant};

use masticarch_model::{
    access, attempt, catalog, change, claim, command, configuration, delta, directory, edit,
    incarnation, key, limit, node, object, place, priority, route, target, team, version, view,
};
use masticarch_policy::share::{lease, owner};
use masticarch_wire::message::{self, lease as wire, sync};

/// Size of a fleet and of its configuration.
#[derive(Clone, Copy)]
struct Size {
    nodes: u32,
    services: u32,
    teams: u32,
    keys: u32,
    routes: u32,
}

/// A tenth of the design target and the design target. Numbers of teams, keys
/// and routes are assumptions of the page.
const SIZES: [Size; 2] = [
    Size {
        nodes: 940,
        services: 66,
        teams: 300,
        keys: 600,
        routes: 100,
    },
    Size {
        nodes: 9_400,
        services: 660,
        teams: 3_000,
        keys: 6_000,
        routes: 1_000,
    },
];

/// Teams in one lease request of a node.
const TEAMS_PER_NODE: u32 = 8;
/// Repetitions of a timed operation, of which the median is printed.
const ROUNDS: u32 = 15;

fn node(index: u32) -> node::Node {
    node::Node {
        name: format!("norte-a-{index:05}").as_str().into(),
        incarnation: incarnation_of(index),
        place: place::Place {
            region: format!("region-{}", index % 2).as_str().into(),
            domain: format!("domain-{}", index % 7).as_str().into(),
        },
        peer: (Ipv4Addr::from_bits(0x0a00_0000 + index), 7001).into(),
    }
}

/// An incarnation as random as that of a real process, so that its encoding is as
/// long.
fn incarnation_of(index: u32) -> incarnation::Incarnation {
    let mixed = u64::from(index + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    incarnation::Incarnation(mixed)
}

fn target(size: Size, index: u32) -> target::Target {
    target::Target {
        service: format!("service-{:04}", index % size.services)
            .as_str()
            .into(),
        slots: 70,
        connections: 530,
        state: target::State::Serving,
    }
}

fn team_name(index: u32) -> String {
    format!("team-{index:05}")
}

fn stored_key(size: Size, index: u32) -> key::Key {
    let mut hash = [7; 32];
    hash[..4].copy_from_slice(&index.to_be_bytes());
    key::Key {
        name: format!("key-{index:05}").as_str().into(),
        team: team_name(index % size.teams).as_str().into(),
        id: incarnation_of(index).0.to_be_bytes(),
        hash,
        withdrawn: false,
    }
}

fn stored_route(size: Size, index: u32) -> route::Route {
    let allowed = (0..8).map(|step| team_name((index * 8 + step) % size.teams).as_str().into());
    route::Route {
        host: None,
        split: Vec::new(),
        attempts: None,
        latency_target: None,
        name: format!("route-{index:05}").as_str().into(),
        path: format!("/service-{index:05}/resource").into(),
        service: format!("service-{:04}", index % size.services)
            .as_str()
            .into(),
        priority: "normal".into(),
        access: access::Access::Teams(allowed.collect()),
        idempotent: true,
        timeout: Duration::from_secs(2),
        retries: 3,
    }
}

fn configuration(size: Size) -> configuration::Configuration {
    configuration::Configuration {
        priorities: vec![priority::Priority {
            name: "normal".into(),
            below: None,
        }],
        limits: vec![limit::Limit {
            name: "small".into(),
            rate_per_second: 50.0,
            burst: 100,
        }],
        teams: (0..size.teams)
            .map(|index| team::Team {
                priority: None,
                name: team_name(index).as_str().into(),
                limit: "small".into(),
                weight: 1,
            })
            .collect(),
        keys: (0..size.keys)
            .map(|index| stored_key(size, index))
            .collect(),
        routes: (0..size.routes)
            .map(|index| stored_route(size, index))
            .collect(),
    }
}

fn change(id: u32, expected: version::Version, edits: Vec<edit::Edit>) -> command::Command {
    command::Command::Change(change::Change {
        document: None,
        id: u128::from(id),
        expected,
        operator: "admin".into(),
        edits,
    })
}

fn key_change(catalog: &catalog::Catalog, size: Size, id: u32) -> command::Command {
    let mut key = stored_key(size, id % size.keys);
    key.withdrawn = true;
    let put = edit::Edit::Put(object::Object::Key(key));
    change(id, catalog.view().configuration_version, vec![put])
}

fn filled(size: Size) -> catalog::Catalog {
    let mut catalog = catalog::Catalog::new();
    let edits = vec![edit::Edit::Replace(configuration(size))];
    catalog.apply(1, change(0, version::Version(0), edits));
    let mut log = 1;
    for index in 0..size.nodes {
        let node = node(index);
        let (name, incarnation) = (node.name.clone(), node.incarnation);
        catalog.apply(log + 1, command::Command::Join(node));
        let targets = vec![target(size, index)];
        catalog.apply(
            log + 2,
            command::Command::Announce(name, incarnation, targets),
        );
        log += 2;
    }
    catalog
}

/// Median time of an operation.
fn median(mut operation: impl FnMut(u32)) -> Duration {
    let mut times: Vec<_> = (0..ROUNDS)
        .map(|round| {
            let begun = Instant::now();
            operation(round);
            begun.elapsed()
        })
        .collect();
    times.sort_unstable();
    times[times.len() / 2]
}

fn print_time(size: Size, what: &str, time: Duration) {
    let nodes = size.nodes;
    let micros = time.as_secs_f64() * 1e6;
    println!(r#"{{"nodes":{nodes},"measured":"{what}","microseconds":{micros:.1}}}"#);
}

fn print_bytes(size: Size, what: &str, bytes: usize) {
    let nodes = size.nodes;
    println!(r#"{{"nodes":{nodes},"measured":"{what}","bytes":{bytes}}}"#);
}

/// Resident memory of this process in bytes.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<usize>().ok());
    kib.unwrap_or_default() << 10
}

fn print_messages(size: Size, catalog: &catalog::Catalog) {
    let request = sync::Request {
        renewals: Vec::new(),
        departed: Vec::new(),
        node: node(77),
        targets: vec![target(size, 77)],
        loads: vec![sync::Load {
            service: "service-1".into(),
            limit: 70,
            in_flight: 70,
            admitted: 255,
        }],
        held: catalog.version(),
        hold_ms: 500,
        leaving: false,
    };
    print_bytes(
        size,
        "sync request, one target",
        message::encode(&request).len(),
    );
    let empty = sync::Reply::Deltas(catalog.version(), Vec::new());
    print_bytes(
        size,
        "sync reply without news",
        message::encode(&empty).len(),
    );
    let announced =
        delta::Delta::Announced(node(77).name, node(77).incarnation, vec![target(size, 77)]);
    let deltas = [
        ("delta: node joined", delta::Delta::Joined(node(77))),
        ("delta: targets announced", announced),
        (
            "delta: node left",
            delta::Delta::Left(vec![(node(77).name, node(77).incarnation)]),
        ),
        (
            "delta: one key put",
            delta::Delta::Configuration(
                catalog.version(),
                vec![edit::Edit::Put(object::Object::Key(stored_key(size, 77)))],
            ),
        ),
        (
            "delta: one route put",
            delta::Delta::Configuration(
                catalog.version(),
                vec![edit::Edit::Put(object::Object::Route(stored_route(
                    size, 77,
                )))],
            ),
        ),
    ];
    for (what, delta) in deltas {
        print_bytes(size, what, message::encode(&delta).len());
    }
    print_leases(size);
}

fn print_leases(size: Size) {
    let reports = |count| {
        let report = |index| wire::Report {
            wanted: 0.0,
            team: team_name(index).as_str().into(),
            held: wire::Share {
                rate: 12.5,
                burst: 25.0,
            },
            released: 0.0,
            demand: 10.3,
        };
        wire::Request {
            node: node(77).name,
            incarnation: node(77).incarnation,
            reports: (0..count).map(report).collect(),
        }
    };
    print_bytes(
        size,
        "lease request, 8 teams",
        message::encode(&reports(8)).len(),
    );
    print_bytes(
        size,
        "lease request, 1 team",
        message::encode(&reports(1)).len(),
    );
    let grant = |index| wire::Grant {
        drawn: 0.0,
        team: team_name(index).as_str().into(),
        share: wire::Share {
            rate: 12.5,
            burst: 25.0,
        },
        tokens: 0.0,
    };
    let grants = wire::Reply::Grants((0..8).map(grant).collect());
    print_bytes(size, "lease reply, 8 teams", message::encode(&grants).len());
}

fn print_view(size: Size, catalog: &catalog::Catalog) {
    let reply = sync::Reply::Snapshot(Box::new(catalog.view().clone()));
    let encoded = message::encode(&reply);
    print_bytes(size, "sync reply with the whole view", encoded.len());
    let mut alone = catalog.view().clone();
    alone.nodes.clear();
    print_bytes(size, "configuration alone", message::encode(&alone).len());
    let time = median(|_| drop(black_box(message::encode(&reply))));
    print_time(size, "encode the whole view", time);
    let time = median(|_| drop(black_box(message::decode::<sync::Reply>(&encoded).ok())));
    print_time(size, "decode the whole view", time);
}

fn print_directory(size: Size, catalog: &catalog::Catalog) {
    let mut view = catalog.view().clone();
    let time = median(|_| drop(black_box(directory::Directory::new(&view))));
    print_time(size, "compile a directory", time);
    let time = median(|round| {
        view.apply(&delta::Delta::Joined(node(size.nodes / 2 + round)));
    });
    print_time(size, "apply a join to a view", time);
    let time = median(|round| {
        let node = node(size.nodes / 2 + round);
        let targets = vec![target(size, round + 1)];
        view.apply(&delta::Delta::Announced(
            node.name,
            node.incarnation,
            targets,
        ));
    });
    print_time(size, "apply an announcement to a view", time);
}

fn print_catalog(size: Size, catalog: &mut catalog::Catalog) {
    let mut log = catalog.version().0;
    let time = median(|round| {
        log += 1;
        let command = key_change(catalog, size, round + 1);
        catalog.apply(log, command);
    });
    print_time(size, "apply a change of one key", time);
    let time = median(|round| {
        log += 1;
        let mut node = node(round * 3);
        node.incarnation = incarnation_of(1 << 20 | round);
        catalog.apply(log, command::Command::Join(node));
    });
    print_time(size, "apply a join of a new incarnation", time);
    let time = median(|round| {
        log += 1;
        let subject = claim::Subject {
            team: Some(team_name(round).as_str().into()),
            route: "route-00001".into(),
            key: format!("order-{round}").into(),
        };
        let attempt = attempt::Attempt {
            node: incarnation_of(100 + round * 7),
            sequence: 1,
        };
        catalog.apply(log, command::Command::Claim(subject, [1; 32], attempt));
    });
    print_time(size, "apply a claim", time);
    let time = median(|_| drop(black_box(catalog.encode().ok())));
    print_time(size, "encode a snapshot of the catalog", time);
    let encoded = catalog.encode().map_or(0, |bytes| bytes.len());
    print_bytes(size, "snapshot of the catalog", encoded);
}

/// A node's reports on the teams that are active there: the first team is
/// active at every node, the others at a few.
fn renewal(size: Size, index: u32) -> lease::Request {
    let report = |step: u32| {
        let team = match step {
            0 => 0,
            _ => (index * TEAMS_PER_NODE + step) % size.teams,
        };
        lease::Report {
            wanted: 0.0,
            team: team_name(team).as_str().into(),
            held: lease::Share::default(),
            released: 0.0,
            demand: 5.0,
        }
    };
    lease::Request {
        node: incarnation_of(index),
        connection: 1,
        reports: (0..TEAMS_PER_NODE).map(report).collect(),
    }
}

/// An owner of all limits that has granted shares to every node.
fn owner_of(size: Size, now: Instant) -> owner::Owner {
    let mut owner = owner::Owner::first(now);
    let whole = lease::Share {
        rate: 1000.0,
        burst: 1000.0,
    };
    let limits: Vec<_> = (0..size.teams)
        .map(|index| lease::Limit {
            team: team_name(index).as_str().into(),
            whole,
        })
        .collect();
    owner.set_limits(now, &limits);
    for index in 0..size.nodes {
        owner.renew(now, &renewal(size, index));
    }
    owner
}

/// Times one renewal of every node, with their times spread over one second as they
/// would be in operation.
fn print_owner(size: Size) {
    let begun = Instant::now();
    let mut owner = owner_of(size, begun);
    let requests: Vec<_> = (0..size.nodes).map(|index| renewal(size, index)).collect();
    let started = Instant::now();
    for (index, request) in (0..size.nodes).zip(&requests) {
        let passed = Duration::from_secs(1) * index / size.nodes;
        black_box(owner.renew(begun + passed, request));
    }
    let time = started.elapsed();
    print_time(size, "renewals of every node once, 8 teams each", time);
}

/// Measures by how much each structure grows the memory of the process. It must run
/// first: memory freed by other measurements would be reused and hide the growth.
fn print_memory(size: Size) {
    let empty = resident();
    let view = view::View {
        control: Vec::new(),
        version: version::Version(1),
        configuration_version: version::Version(1),
        configuration: configuration(size),
        nodes: (0..size.nodes)
            .map(|index| view::Entry {
                node: node(index),
                targets: vec![target(size, index)],
            })
            .collect(),
    };
    let with_view = resident();
    let directory = directory::Directory::new(&view);
    let with_directory = resident();
    let owner = owner_of(size, Instant::now());
    let with_owner = resident();
    let catalog = filled(size);
    let with_catalog = resident();
    black_box((view, directory, owner, catalog));
    print_bytes(size, "memory of a view", with_view - empty);
    print_bytes(size, "memory of a directory", with_directory - with_view);
    print_bytes(size, "memory of the owner", with_owner - with_directory);
    print_bytes(size, "memory of the catalog", with_catalog - with_owner);
}

fn main() {
    print_memory(SIZES[1]);
    for size in SIZES {
        let begun = Instant::now();
        let mut catalog = filled(size);
        print_time(size, "build the catalog by commands", begun.elapsed());
        print_messages(size, &catalog);
        print_view(size, &catalog);
        print_directory(size, &catalog);
        print_catalog(size, &mut catalog);
        print_owner(size);
    }
}
