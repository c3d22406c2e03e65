//! Which layers an engine loaded: orders of a simulated engine that are held up and lost while
//! chunks turn bad.

use domain::clock::Instant;
use policy::loading::{ANSWER_LIMIT, Evidence, MAX_AGE, Observation, Reply, Step};
use rand::{RngExt, SeedableRng, rngs::StdRng};

const LAYERS: u32 = 4;

fn at(millis: u64) -> Instant {
    Instant::from_millis(60_000 + millis)
}

/// A report that says nothing of the number of orders.
fn observation(is_loading: bool, is_served: bool) -> Observation {
    Observation {
        is_loading,
        is_served,
        orders: None,
    }
}

/// Guards against an order that is sent long after the chunks were read.
#[test]
fn order_is_put_off_once_the_oldest_read_is_too_old() {
    let limit = (MAX_AGE - ANSWER_LIMIT).as_millis() as u64;
    let mut evidence = Evidence::new();
    assert!(!evidence.may_order(at(0)), "nothing was read");
    evidence.pass(at(0));
    for (now, may_order) in [(0, true), (limit, true), (limit + 1, false)] {
        assert_eq!(evidence.may_order(at(now)), may_order, "{now} ms");
    }
    evidence.restage();
    assert!(!evidence.may_order(at(1)), "a chunk was staged since");
}

/// Guards against trust in a load whose acceptance may have come long after the chunks were read,
/// or beside chunks that were staged since.
#[test]
fn load_is_trusted_only_if_it_was_accepted_soon_after_the_chunks_were_read() {
    let limit = MAX_AGE.as_millis() as u64;
    let refused = Reply::Refused("409".to_owned());
    let cases = [
        (Some(Reply::Begun), limit, false, Step::Serve),
        (Some(Reply::Begun), limit + 1, false, Step::Inspect),
        (Some(Reply::InEffect), 1, false, Step::Reload),
        (Some(refused), 1, false, Step::Serve),
        (None, limit, false, Step::Serve),
        (None, limit + 1, false, Step::Inspect),
        (None, limit, true, Step::Reload),
    ];
    for (reply, now, is_restaged, expected) in cases {
        let mut evidence = Evidence::new();
        evidence.pass(at(0));
        evidence.answer(reply.as_ref(), at(now));
        if is_restaged {
            evidence.restage();
        }
        evidence.observe(observation(false, reply.is_none()), at(now));
        let case = format!("{reply:?} after {now} ms, restaged: {is_restaged}");
        assert_eq!(evidence.step(), expected, "{case}");
    }
}

/// Guards against an engine that serves its old version while it may accept an order at any time.
#[test]
fn lost_answer_takes_the_engine_out_of_use_until_the_next_one() {
    let mut evidence = Evidence::new();
    evidence.pass(at(0));
    evidence.answer(None, at(1_000));
    evidence.observe(observation(false, false), at(1_100));
    assert_eq!(evidence.step(), Step::Inspect);
    evidence.pass(at(1_200));
    assert_eq!(
        evidence.step(),
        Step::Inspect,
        "the order is still on its way"
    );
    evidence.answer(Some(&Reply::Begun), at(1_300));
    assert_eq!(evidence.step(), Step::Serve);
}

/// Guards against trust in an engine that begins an order of an earlier agent, or a late one.
#[test]
fn order_that_no_reply_explains_is_not_trusted() {
    let cases = [
        // The counts of two reports, the replies between them, and what is to be done.
        (4, 4, 0, Step::Serve),
        (4, 5, 1, Step::Serve),
        (4, 5, 0, Step::Reload),
        (4, 6, 1, Step::Reload),
        (4, 0, 0, Step::Serve),
    ];
    for (first, second, replies, expected) in cases {
        let mut evidence = Evidence::new();
        let observation = |orders| Observation {
            orders: Some(orders),
            ..observation(false, true)
        };
        evidence.observe(observation(first), at(0));
        evidence.pass(at(0));
        for _ in 0..replies {
            evidence.answer(Some(&Reply::Begun), at(100));
        }
        evidence.observe(observation(second), at(200));
        assert_eq!(evidence.step(), expected, "{first}, {second}, {replies}");
    }
}

/// Guards against a reload that keeps a layer, or that ends although the engine gave none up.
#[test]
fn reload_gives_up_and_loads_every_layer() {
    let mut evidence = Evidence::new();
    evidence.observe(observation(true, false), at(0));
    let mut parts = Vec::new();
    for now in [1_000, 2_000, 3_000] {
        evidence.observe(observation(false, false), at(now));
        assert_eq!(evidence.step(), Step::Reload);
        evidence.pass(at(now));
        parts.push(evidence.part(LAYERS));
        evidence.answer(Some(&Reply::Begun), at(now + 100));
    }
    assert_eq!(parts, [0..2, 2..4, 0..4]);
    assert_eq!(evidence.step(), Step::Serve);

    let mut evidence = Evidence::new();
    evidence.observe(observation(true, false), at(0));
    for now in [1_000, 2_000, 3_000] {
        evidence.observe(observation(false, true), at(now));
        evidence.pass(at(now));
        assert_eq!(
            evidence.part(LAYERS),
            0..2,
            "the engine still holds every layer"
        );
        evidence.answer(Some(&Reply::InEffect), at(now + 100));
        assert_eq!(evidence.step(), Step::Reload);
    }
}

/// An order on its way to the engine.
#[derive(Debug)]
struct Order {
    version: u64,
    begin: u32,
    end: u32,
}

/// An engine with one chunk for each layer.
struct Engine {
    rng: StdRng,
    now: u64,
    /// The version of each staged chunk, and when it turned bad.
    staged: Vec<(u64, Option<u64>)>,
    serving: u64,
    /// The held layers, and whether each was loaded whole.
    layers: Vec<Option<bool>>,
    /// How many orders it has begun.
    orders: u64,
    /// Orders whose sender no longer waits.
    late: Vec<Order>,
}

impl Engine {
    fn accept(&mut self, order: &Order) -> Reply {
        let mut reply = Reply::InEffect;
        if self.serving != order.version {
            self.layers.fill(None);
        }
        for layer in 0..LAYERS {
            let is_wanted = (order.begin..order.end).contains(&layer);
            let (version, spoilt_at) = self.staged[layer as usize];
            let held = &mut self.layers[layer as usize];
            if held.is_some() == is_wanted {
                continue;
            }
            reply = Reply::Begun;
            let excuse = MAX_AGE.as_millis() as u64;
            let is_whole = spoilt_at.is_none_or(|at| self.now - at <= excuse);
            *held = is_wanted.then_some(version == order.version && is_whole);
        }
        self.serving = order.version;
        self.orders += u64::from(reply == Reply::Begun);
        reply
    }

    fn is_complete(&self) -> bool {
        self.layers.iter().all(Option::is_some)
    }

    /// Time passes. Chunks turn bad, and late orders arrive or are lost.
    fn pass_time(&mut self, is_calm: bool) {
        let is_suspended = !is_calm && self.rng.random_bool(0.1);
        let span = match is_suspended {
            true => self.rng.random_range(0..6_000),
            false => self.rng.random_range(0..150),
        };
        if !is_calm && self.rng.random_bool(0.1) {
            let index = self.rng.random_range(0..self.staged.len());
            self.staged[index].1.get_or_insert(self.now);
        }
        self.now += span;
        if !self.late.is_empty() && self.rng.random_bool(0.2) {
            let index = self.rng.random_range(0..self.late.len());
            let order = self.late.swap_remove(index);
            if !is_calm && self.rng.random_bool(0.7) {
                self.accept(&order);
            }
        }
    }
}

/// One run of an agent beside an engine, with trouble at first. Returns whether the engine serves
/// in the end.
fn play(seed: u64) -> bool {
    let mut engine = Engine {
        rng: StdRng::seed_from_u64(seed),
        now: 0,
        staged: vec![(1, None); LAYERS as usize],
        serving: 1,
        layers: vec![Some(true); LAYERS as usize],
        orders: 0,
        late: Vec::new(),
    };
    let mut evidence = Evidence::new();
    let mut target = 1;
    for turn in 0..400 {
        let is_calm = turn >= 300;
        if !is_calm && engine.rng.random_bool(0.04) {
            target += 1;
            evidence.retarget();
            evidence.restage();
            engine.staged.fill((target, None));
        }
        engine.pass_time(is_calm);
        let is_served = engine.is_complete() && engine.serving == target;
        let orders = Some(engine.orders);
        let observation = Observation {
            orders,
            ..observation(false, is_served)
        };
        evidence.observe(observation, at(engine.now));
        if engine.is_complete() && evidence.step() == Step::Serve {
            let is_whole = engine.layers.iter().all(|layer| *layer == Some(true));
            assert!(is_whole, "seed {seed}, turn {turn}: {:?}", engine.layers);
        }
        if is_served && evidence.step() == Step::Serve {
            continue;
        }
        let read_at = at(engine.now);
        let mut bad = Vec::new();
        for index in 0..engine.staged.len() {
            bad.extend(engine.staged[index].1.is_some().then_some(index));
            engine.pass_time(is_calm);
        }
        if !bad.is_empty() {
            evidence.restage();
            bad.iter()
                .for_each(|index| engine.staged[*index] = (target, None));
            continue;
        }
        evidence.pass(read_at);
        if is_served && evidence.step() == Step::Serve {
            continue;
        }
        engine.pass_time(is_calm);
        if !evidence.may_order(at(engine.now)) {
            continue;
        }
        let part = evidence.part(LAYERS);
        let order = Order {
            version: target,
            begin: part.start,
            end: part.end,
        };
        engine.pass_time(is_calm);
        let reply = match !is_calm && engine.rng.random_bool(0.3) {
            true => {
                engine.late.push(order);
                None
            }
            false => Some(engine.accept(&order)),
        };
        engine.pass_time(is_calm);
        evidence.answer(reply.as_ref(), at(engine.now));
    }
    engine.is_complete() && evidence.step() == Step::Serve
}

/// Guards against any order of suspensions, lost answers, late orders and spoilt chunks in which the
/// engine is used with spoilt layers, or stays out of use afterwards.
#[test]
fn engine_is_used_only_with_whole_layers() {
    for seed in 0..500 {
        assert!(play(seed), "seed {seed}: the engine is not used");
    }
}
