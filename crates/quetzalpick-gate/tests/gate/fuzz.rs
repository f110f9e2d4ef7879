//! Random sequences of requests, repeats, faults and gate crashes, checked against a simple oracle.
//!
//! `QUETZALPICK_FUZZ_CASES` sets how many sequences are run, `QUETZALPICK_FUZZ_SEED` the first seed.

use quetzalpick_core::state::State;
use quetzalpick_standin::engine::token;
use quetzalpick_standin::fault::Fault;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::client::{Answer, tokens};
use crate::deployment::{Deployment, LAGOS, quick_engine, quick_gate};
use crate::process::Process;

const STEPS: u32 = 100;
const GATES: usize = 3;
/// Steps at which a gate is killed; the others retire it before the next one is killed.
const KILLS: [u32; 2] = [30, 70];
/// Output tokens of a completion.
const TOKENS: u32 = 6;

/// Reads a number from the environment.
fn setting(name: &str, default: u64) -> u64 {
    let text = std::env::var(name).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// `Run` holds the state of one sequence.
struct Run {
    random: Pcg64Mcg,
    deployment: Deployment,
    gates: Vec<Process>,
    orders: Vec<String>,
    vms: u32,
}

impl Run {
    async fn start(seed: u64) -> Self {
        let deployment = Deployment::with_engines(vec![quick_engine(), quick_engine()]).await;
        let mut run = Self {
            random: Pcg64Mcg::seed_from_u64(seed),
            deployment,
            gates: Vec::new(),
            orders: Vec::new(),
            vms: 0,
        };
        for _ in 0..GATES {
            run.add_gate().await;
        }
        run
    }

    /// Starts a gate under a new name.
    async fn add_gate(&mut self) {
        self.vms += 1;
        let mut options = quick_gate();
        options.retry.burst = 10_000;
        let vm = format!("vm-{}", self.vms);
        let gate = self.deployment.gate_with(&vm, options).await;
        self.gates.push(gate);
    }

    /// Chooses a gate at random.
    fn random_gate(&mut self) -> usize {
        self.random.random_range(0..self.gates.len())
    }

    /// Chooses a fault at random.
    fn random_fault(&mut self) -> Fault {
        match self.random.random_range(0..9) {
            0 => Fault::Crossed,
            1 => Fault::AnswerLost,
            2 => Fault::OrderLost,
            3 => Fault::Refuse,
            4 => Fault::Outage,
            5 => Fault::Slow { ms: 20 },
            6 => Fault::RefuseTwice,
            7 => Fault::StreamCrash {
                tokens: self.random.random_range(0..TOKENS),
            },
            _ => Fault::CloseAt {
                bytes: self.random.random_range(0..400),
            },
        }
    }

    /// Runs one random step.
    async fn step(&mut self, number: u32) {
        if KILLS.contains(&number) {
            return self.kill_during_booking(number).await;
        }
        match self.random.random_range(0..20) {
            0..=2 => {
                let fault = self.random_fault();
                self.deployment.service.faults().set(fault, Some(1));
            }
            3..=5 => {
                let fault = self.random_fault();
                let engine = self.random.random_range(0..2);
                self.deployment.engines[engine].faults().set(fault, Some(1));
            }
            6 => {
                let gate = self.random_gate();
                let log = &self.gates[gate].log;
                match self.random.random_range(0..3) {
                    0 => log.drop_answers(2),
                    1 => log.hold_appends(2),
                    _ => self.deployment.log.release_appends(),
                }
            }
            7..=12 => self.book(number).await,
            _ => self.chat(number).await,
        }
    }

    /// Kills a gate during a booking, and starts another.
    async fn kill_during_booking(&mut self, number: u32) {
        let order = format!("order-{number}");
        self.orders.push(order.clone());
        let mut gate = self.gates.remove(0);
        let client = gate.client.clone();
        let booked = order.clone();
        let booking = tokio::spawn(async move { client.book(LAGOS, &booked, &booked).await });
        let pause = self.random.random_range(0..12);
        tokio::time::sleep(std::time::Duration::from_millis(pause)).await;
        gate.kill();
        if let Some(answer) = booking.await.unwrap() {
            self.check(&answer, &order).unwrap();
        }
        self.add_gate().await;
        // With two gates dead at once the voters would have no majority, so that no member could be retired any more.
        let settled = |state: &State| {
            let roster = state.roster();
            let voters = roster.voters();
            roster.members().len() == GATES && voters.iter().all(|m| roster.is_active(m))
        };
        self.gates[0].wait_until(settled).await;
    }

    /// Books a new order or repeats an old one.
    async fn book(&mut self, number: u32) {
        let repeats = !self.orders.is_empty() && self.random.random_bool(0.5);
        let order = if repeats {
            let index = self.random.random_range(0..self.orders.len());
            self.orders[index].clone()
        } else {
            format!("order-{number}")
        };
        let gate = self.random_gate();
        let client = self.gates[gate].client.clone();
        let answer = client.book(LAGOS, &order, &order).await.unwrap();
        self.check(&answer, &order).unwrap();
        self.orders.push(order);
    }

    /// Compares an answer to a booking with the service's record.
    fn check(&self, answer: &Answer, order: &str) -> Result<(), String> {
        let executions = self.deployment.executions(order);
        let consistent = match (answer.status, answer.verdict()) {
            (201, _) => executions == 1 && answer.json()["order"] == order,
            (_, "not-run") => executions == 0,
            (_, "may-have-run") => executions <= 1,
            _ => false,
        };
        let answered = format!("{} {}", answer.status, answer.body);
        consistent
            .then_some(())
            .ok_or(format!("{order} ran {executions} times: {answered}"))
    }

    /// Requests a completion, and compares the answer with the only correct one.
    async fn chat(&mut self, number: u32) {
        let stream = self.random.random_bool(0.5);
        let prompt = format!("prompt {number}");
        let message = format!(r#"{{"role":"user","content":"{prompt}"}}"#);
        let body = format!(
            r#"{{"model":"menu","messages":[{message}],"max_tokens":{TOKENS},"stream":{stream}}}"#
        );
        let expected = token::text(&format!("user: {prompt}\n"), 0..TOKENS);
        let gate = self.random_gate();
        let client = &self.gates[gate].client;
        let answer = client.post("/v1/chat/completions", LAGOS, body).await;
        if answer.status != 200 {
            assert!(["not-run", "may-have-run"].contains(&answer.verdict()));
            return;
        }
        if !stream {
            let content = &answer.json()["choices"][0]["message"]["content"];
            assert_eq!(content, &expected);
            return;
        }
        let events: Vec<String> = answer.body.split("\n\n").map(str::to_owned).collect();
        let events = &events[..events.len() - 1];
        let (text, numbers, last) = tokens(events);
        assert!(expected.starts_with(&text));
        assert_eq!(numbers, (0..numbers.len() as u64).collect::<Vec<_>>());
        let complete = last == "data: [DONE]" && text == expected;
        assert!(complete || last.starts_with("event: error"), "{last}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn random_sequences_match_the_oracle() {
    let first = setting("QUETZALPICK_FUZZ_SEED", 0);
    let cases = setting("QUETZALPICK_FUZZ_CASES", 2);
    println!("seeds {first} to {}", first + cases - 1);
    for seed in first..first + cases {
        println!("seed {seed}");
        let mut run = Run::start(seed).await;
        for number in 0..STEPS {
            run.step(number).await;
        }
        for order in &run.orders {
            assert!(
                run.deployment.executions(order) <= 1,
                "seed {seed}: {order}"
            );
        }
    }
}
