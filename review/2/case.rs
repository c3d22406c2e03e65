//! An evacuation that was acknowledged is undone by a withdrawal that a partition held up.

#[path = "../stand/common.rs"]
mod common;

use std::{
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
};

use common::*;

const ZONE: &str = "zone-b";
/// Addresses under which the replicas are reached, so many hosts above their own.
const OFFSET: u8 = 100;
const CUT_MS: u64 = 4_000;
/// `evacuate_ms` and, as the core was cut, `outer_ms`.
const BOUND_MS: u64 = 5_000 + 5_000;
const CONTACT_MS: u64 = 3_000;

fn main() {
    let case = Case::start();
    let cut = Arc::new(Cut::default());
    let hosts = [1, 2, 3];
    let seeds = hosts.map(|host| host + OFFSET);
    let nodes: Vec<_> = seeds.iter().map(|host| case.at(*host, CONTROL)).collect();
    for host in hosts {
        let name = format!("control-{host}");
        for port in [INNER, CONTROL] {
            let (from, to) = (case.at(host + OFFSET, port), case.at(host, port));
            Forwarder::start(&case, from, to, &name, &cut);
        }
    }
    for (host, zone) in hosts.into_iter().zip(ZONES) {
        let more = format!(r#","advertised_ip":"{}""#, case.ip(host + OFFSET));
        case.control(host, zone, &seeds, true, &more);
    }
    let fronts: Vec<_> = [11, 12]
        .map(|host| {
            case.entry(host, ZONES[usize::from(host) - 11], &seeds);
            case.at(host, FRONT)
        })
        .to_vec();
    let stay = Runner::start(&case, "i-stay", "desk", "zone-a", 31, &nodes);
    let moved = Runner::start(&case, "i-moved", "desk", ZONE, 32, &nodes);
    if !insist(
        &case,
        &nodes,
        "/v1/Config.Replace",
        config(1, "").as_bytes(),
        ms(15_000),
    ) {
        case.end(COULD_NOT_RUN, "no configuration was accepted");
    }
    // Clients of both entries.
    let is_over = Arc::new(AtomicBool::new(false));
    let served = Arc::new(AtomicU64::new(0));
    let sent = Arc::new(Mutex::new(0_u64));
    let clients: Vec<_> = fronts
        .iter()
        .enumerate()
        .map(|(place, front)| {
            let (case, front) = (case.clone(), *front);
            let (is_over, served, sent) = (is_over.clone(), served.clone(), sent.clone());
            thread::spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    let id = {
                        let Ok(mut sent) = sent.lock() else { return };
                        *sent += 1;
                        format!("{place:x}{:08x}", *sent)
                    };
                    let answer = ask(&case, front, "/read/x", &id);
                    if answer.is_some_and(|reply| reply.status == 200) {
                        served.fetch_add(1, Ordering::Relaxed);
                    }
                    thread::sleep(ms(40));
                }
            })
        })
        .collect();
    let is_served = || !stay.ran().is_empty() && !moved.ran().is_empty();
    if !wait(ms(15_000), is_served) {
        case.end(COULD_NOT_RUN, "requests were not served in both zones");
    }
    let Some(leader) = stay.leader.lock().ok().and_then(|leader| *leader) else {
        case.end(COULD_NOT_RUN, "no leader is known")
    };
    let followers: Vec<_> = nodes
        .iter()
        .copied()
        .filter(|node| *node != leader)
        .collect();
    let name = |node: &std::net::SocketAddr| {
        let place = nodes.iter().position(|other| other == node).unwrap_or(0);
        format!("control-{}", hosts[place])
    };
    let [far, near] = followers[..] else {
        case.end(COULD_NOT_RUN, "there are not two followers")
    };
    thread::sleep(ms(1_500));
    let begin = format!("/v1/Evacuations.Begin/{ZONE}");
    let finish = format!("/v1/Evacuations.Finish/{ZONE}");
    let is_begun = insist(&case, &[near, leader], &begin, b"", ms(4_000));
    thread::sleep(ms(6_000));
    let before = moved.ran().len();
    // Nothing passes from one machine of the core to the other two. The operator reaches either side.
    if case.has_trouble {
        if let (Ok(mut one), Ok(mut others)) = (cut.one.lock(), cut.others.lock()) {
            *one = name(&far);
            *others = vec![name(&leader), name(&near)];
        }
        cut.is_on.store(true, Ordering::Relaxed);
        case.note(format!(
            "nothing passes from {} to {} and {}",
            name(&far),
            name(&leader),
            name(&near)
        ));
    }
    let cut_at = case.now();
    thread::sleep(ms(500));
    let is_finished = insist(&case, &[far, near, leader], &finish, b"", ms(4_000));
    thread::sleep(ms(1_000));
    let is_begun = is_begun && insist(&case, &[near, leader], &begin, b"", ms(4_000));
    let acked_at = case.now();
    if !(is_begun && is_finished) {
        case.end(COULD_NOT_RUN, "an order was not acknowledged");
    }
    while case.now() < cut_at + CUT_MS {
        thread::sleep(ms(10));
    }
    cut.is_on.store(false, Ordering::Relaxed);
    let healed_at = case.now();
    case.note("the cut has healed");
    let from = (acked_at + BOUND_MS).max(healed_at + CONTACT_MS);
    case.note(format!(
        "from {from} on nothing may reach {ZONE} before it is taken back"
    ));
    while case.now() < from + 8_000 {
        thread::sleep(ms(50));
    }
    is_over.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let late = moved.ran().iter().filter(|(at, _)| *at >= from).count();
    let said = format!(
        "{late} requests reached {ZONE} later than {BOUND_MS} ms after its evacuation was acknowledged ({before} before, {} served in all)",
        served.load(Ordering::Relaxed)
    );
    match (late, served.load(Ordering::Relaxed)) {
        (_, 0) => case.end(COULD_NOT_RUN, "nothing was served"),
        (0, _) => case.end(HELD, &said),
        _ => case.end(BROKEN, &said),
    }
}
