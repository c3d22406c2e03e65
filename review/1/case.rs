//! Machines of the core are replaced one or two at a time, until the core can't go on.

#[path = "../stand/common.rs"]
mod common;

use std::{collections::VecDeque, net::SocketAddr, thread};

use common::*;

/// `catch_up_s`, and a little more: until then a machine counts as lost.
const CATCH_UP_MS: u64 = 6_500;
/// How long the configuration is asked for at the end. The pages say `contact_ms`, 4,000, or more.
const READ_MS: u64 = 16_000;
/// How many machines the settings name as seeds.
const MAX_SEEDS: usize = 3;
/// The host of an entry, and that of a runner.
const ENTRY: u8 = 101;
const RUNNER: u8 = 102;

struct Core {
    case: std::sync::Arc<Case>,
    hosts: VecDeque<u8>,
    next: u8,
}

impl Core {
    /// An empty machine with a replica, at an address of its own.
    fn add(&mut self, is_first: bool) {
        let host = self.next;
        self.next += 1;
        self.hosts.push_back(host);
        let more = r#","fault_tolerance":{"machines":2,"zones":1,"regions":0}"#;
        self.case
            .control(host, zone(host), &self.seeds(), is_first, more);
    }

    /// Three machines that run. All machines start with the same three.
    fn seeds(&self) -> Vec<u8> {
        match self.next {
            0..=6 => vec![1, 2, 3],
            _ => self.hosts.iter().take(MAX_SEEDS).copied().collect(),
        }
    }

    /// The platform writes the settings of every machine anew when the list of machines changes.
    fn rewrite(&self) {
        for host in &self.hosts {
            self.case.reseed(&format!("control-{host}"), &self.seeds());
        }
        self.case.reseed(&format!("entry-{ENTRY}"), &self.seeds());
    }

    /// Removes machines for good, and adds as many empty ones a second later.
    fn replace(&mut self, hosts: &[u8]) {
        for host in hosts {
            self.case.remove(&format!("control-{host}"));
            self.hosts.retain(|other| other != host);
        }
        self.rewrite();
        thread::sleep(ms(1_000));
        hosts.iter().for_each(|_| self.add(false));
        thread::sleep(ms(CATCH_UP_MS));
        let states: Vec<_> = self
            .nodes()
            .into_iter()
            .map(|(host, node)| {
                let status = read(node).map_or(0, |reply| reply.status);
                format!("{host}: {status}")
            })
            .collect();
        self.case
            .note(format!("configuration read at {}", states.join(", ")));
    }

    fn nodes(&self) -> Vec<(u8, SocketAddr)> {
        let hosts = self.hosts.iter();
        hosts
            .map(|host| (*host, self.case.at(*host, CONTROL)))
            .collect()
    }

    fn newest(&self, count: usize) -> Vec<u8> {
        self.hosts.iter().rev().take(count).copied().collect()
    }

    fn oldest(&self, count: usize) -> Vec<u8> {
        self.hosts.iter().take(count).copied().collect()
    }
}

fn zone(host: u8) -> &'static str {
    ZONES[usize::from(host) % 3]
}

fn read(node: SocketAddr) -> Option<Reply> {
    call(node, "GET", "/v1/Config.Fetch", &[], b"", ms(1_000)).ok()
}

fn main() {
    let case = Case::start();
    let mut core = Core {
        case: case.clone(),
        hosts: VecDeque::new(),
        next: 1,
    };
    (0..5).for_each(|_| core.add(true));
    let nodes: Vec<_> = core.nodes().into_iter().map(|(_, node)| node).collect();
    if !insist(
        &case,
        &nodes,
        "/v1/Config.Replace",
        config(1, "").as_bytes(),
        ms(15_000),
    ) {
        case.end(COULD_NOT_RUN, "no configuration was accepted");
    }
    case.entry(ENTRY, "zone-a", &core.seeds());
    let _runner = Runner::start(&case, "i-1", "desk", "zone-a", RUNNER, &nodes);
    thread::sleep(ms(3_000));
    // Three machines are added.
    (0..3).for_each(|_| core.add(false));
    thread::sleep(ms(CATCH_UP_MS));
    if case.has_trouble {
        // Two machines may be lost at once. The two in the same place are replaced again and
        // again, then the others.
        for _ in 0..5 {
            core.replace(&core.newest(2));
        }
        // The machine that is left of the three that were added.
        let sixth = core.hosts.get(5).copied();
        core.replace(&sixth.map_or_else(Vec::new, |host| vec![host]));
        core.replace(&core.oldest(2));
        core.replace(&core.oldest(1));
    } else {
        thread::sleep(ms(20_000));
    }
    // All that was lost has been replaced, and all machines run.
    let running: Vec<_> = core
        .hosts
        .iter()
        .filter(|host| case.runs(&format!("control-{host}")))
        .collect();
    case.note(format!("machines that run: {running:?}"));
    if running.len() != core.hosts.len() {
        case.note("a process has ended by itself");
    }
    for number in 0..3 {
        let id = format!("{number:08x}");
        ask(&case, case.at(ENTRY, FRONT), "/read/x", &id);
    }
    let begun = case.now();
    let mut answers = 0;
    let is_read = wait(ms(READ_MS), || {
        core.nodes().into_iter().any(|(host, node)| {
            let reply = read(node);
            answers += 1;
            if let Some(reply) = &reply {
                case.note(format!(
                    "configuration asked at {host}: {} {:.80}",
                    reply.status,
                    reply.text()
                ));
            }
            reply.is_some_and(|reply| reply.status == 200 && reply.text() == config(1, ""))
        })
    });
    let span = case.now() - begun;
    match is_read {
        true => case.end(HELD, &format!("the accepted configuration was read back after {span} ms")),
        false => case.end(
            BROKEN,
            &format!("the accepted configuration did not come in {span} ms and {answers} questions at {} machines", core.hosts.len()),
        ),
    }
}
