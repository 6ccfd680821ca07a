//! Whatever happens: when it ends, all that run soon agree on who runs.

mod cluster;

use cluster::Cluster;
use mosshead_membership::Settings;
use quickcheck::{Arbitrary, Gen, QuickCheck};

#[derive(Clone, Debug)]
enum Trouble {
    Kill(usize),
    Start(usize),
    Leave(usize),
    Freeze(usize),
    Thaw(usize),
    Cut(usize, usize),
    OneWay(usize, usize),
    Split(usize),
    Heal,
    Loss(u64),
    Add,
    Wait(u64),
}

impl Arbitrary for Trouble {
    fn arbitrary(g: &mut Gen) -> Trouble {
        let (one, other) = (usize::arbitrary(g) % 16, usize::arbitrary(g) % 16);
        match u8::arbitrary(g) % 16 {
            0 => Trouble::Kill(one),
            1 | 2 => Trouble::Start(one),
            3 => Trouble::Leave(one),
            4 => Trouble::Freeze(one),
            5 => Trouble::Thaw(one),
            6 => Trouble::Cut(one, other),
            7 => Trouble::OneWay(one, other),
            8 => Trouble::Split(one),
            9 => Trouble::Heal,
            10 => Trouble::Loss(u64::arbitrary(g) % 300),
            11 => Trouble::Add,
            _ => Trouble::Wait(u64::arbitrary(g) % 8_000),
        }
    }
}

fn apply(cluster: &mut Cluster, trouble: &Trouble) {
    let size = cluster.nodes.len();
    match *trouble {
        Trouble::Kill(node) => cluster.kill(node % size),
        Trouble::Start(node) => cluster.start(node % size),
        Trouble::Leave(node) if cluster.nodes[node % size].membership.is_some() => {
            cluster.leave(node % size, 300)
        }
        Trouble::Leave(_) => {}
        Trouble::Freeze(node) => cluster.freeze(node % size),
        Trouble::Thaw(node) => cluster.thaw(node % size),
        Trouble::Cut(one, other) => cluster.cut(&[one % size], &[other % size]),
        Trouble::OneWay(one, other) => {
            cluster.cuts.insert((one % size, other % size));
        }
        Trouble::Split(by) => {
            let (one, other): (Vec<usize>, Vec<usize>) =
                (0..size).partition(|node| (node >> (by % 3)) & 1 == 0);
            cluster.cut(&one, &other);
        }
        Trouble::Heal => cluster.cuts.clear(),
        Trouble::Loss(loss) => cluster.loss = loss,
        Trouble::Add if size < 16 => {
            cluster.add();
        }
        Trouble::Add => {}
        Trouble::Wait(ms) => cluster.run(ms),
    }
}

fn calm_down(cluster: &mut Cluster) {
    cluster.cuts.clear();
    cluster.loss = 0;
    for node in 0..cluster.nodes.len() {
        if cluster.nodes[node].frozen {
            cluster.thaw(node);
        }
    }
    // The seeds run, as the deployment has it at each start.
    for node in 0..3 {
        if cluster.nodes[node].membership.is_none() {
            cluster.start(node);
        }
    }
}

fn all_agree_in_the_end(seed: u64, troubles: Vec<Trouble>) -> bool {
    let mut cluster = Cluster::new(seed, 9, Settings::default());
    cluster.run(3_000);
    troubles.iter().for_each(|trouble| apply(&mut cluster, trouble));
    calm_down(&mut cluster);
    let agreed = cluster.settle(20_000).is_some();
    cluster.check_views();
    // And it stays so.
    cluster.run(30_000);
    agreed && cluster.agree()
}

#[test]
fn whatever_happens_all_agree_in_the_end() {
    QuickCheck::new().rng(Gen::new(60)).quickcheck(all_agree_in_the_end as fn(u64, Vec<Trouble>) -> bool);
}

/// Troubles of others only: cuts among the first half of them, kills, freezes, restarts.
fn the_sound_stay(seed: u64, troubles: Vec<Trouble>) -> bool {
    let mut cluster = Cluster::new(seed, 12, Settings::default());
    cluster.run(4_000);
    let mut missed = 0;
    for trouble in &troubles {
        match *trouble {
            Trouble::Kill(node) => cluster.kill(node % 6),
            Trouble::Start(node) => cluster.start(node % 6),
            Trouble::Freeze(node) => cluster.freeze(node % 6),
            Trouble::Thaw(node) => cluster.thaw(node % 6),
            Trouble::Cut(one, other) => cluster.cut(&[one % 6], &[other % 12]),
            Trouble::OneWay(one, other) => {
                cluster.cuts.insert((one % 6, other % 12));
                cluster.cuts.insert((other % 12, (one + 1) % 6));
            }
            Trouble::Heal => cluster.cuts.clear(),
            Trouble::Wait(ms) => cluster.run(ms),
            _ => cluster.run(100),
        }
        // The second half is without trouble: each of them is believed in by the others of them.
        let sound = 6..12;
        for node in sound.clone() {
            let peer = &cluster.nodes[node].peer;
            let lives =
                |other: usize| cluster.nodes[other].view.live_members().any(|(known, _)| known == peer);
            missed += sound.clone().filter(|other| !lives(*other)).count();
        }
    }
    missed == 0
}

#[test]
fn members_without_trouble_are_never_dead_for_each_other() {
    QuickCheck::new().rng(Gen::new(60)).quickcheck(the_sound_stay as fn(u64, Vec<Trouble>) -> bool);
}

/// Any member that dies in a calm fleet is dead for all in bounded time, and nobody else is.
fn deaths_are_found(seed: u64, size: usize, dead: usize) -> bool {
    let size = size % 20 + 2;
    let dead = dead % (size / 2) + 1;
    let mut cluster = Cluster::new(seed, size, Settings::default());
    cluster.run(6_000);
    let agreed = cluster.agree();
    (0..dead).for_each(|node| cluster.kill(node * 2 % size));
    // Each is found within two rounds at the worst, and has its time to refute.
    let most = 1_000 + 800 * size as u64 + Settings::default().suspect_ms(size) + 1_000;
    agreed && cluster.settle(most).is_some()
}

#[test]
fn every_death_is_found_in_bounded_time() {
    QuickCheck::new().quickcheck(deaths_are_found as fn(u64, usize, usize) -> bool);
}

/// With up to a tenth of all datagrams lost nobody that runs is dead for another for long.
fn loss_is_borne(seed: u64, size: usize, loss: u64) -> bool {
    let size = size % 20 + 2;
    let mut cluster = Cluster::new(seed, size, Settings::default());
    cluster.loss = loss % 100;
    cluster.run(10_000);
    (0..30).all(|_| {
        cluster.run(1_000);
        let lacking =
            |cluster: &Cluster| cluster.running().any(|node| node.view.live_members().count() != size);
        if lacking(&cluster) {
            cluster.run(3_000);
        }
        !lacking(&cluster)
    })
}

#[test]
fn loss_keeps_nobody_out_for_long() {
    QuickCheck::new().quickcheck(loss_is_borne as fn(u64, usize, u64) -> bool);
}
