//! Stand-in for the platform's store: logs, the newest records of keys, and drills, from which it comes back from an older copy.

use std::collections::BTreeMap;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Request, Response, Server};
use crate::json::base64;
use crate::record::Record;

/// Time that each answer takes.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// Most records in a page of newest records.
const PAGE_RECORDS: usize = 500;

struct State {
    /// Records of each topic, with the time at which they were appended. Nothing expires in the time of a case.
    topics: BTreeMap<String, Vec<(Vec<u8>, Instant)>>,
    /// Number of times that the store has come back from a copy.
    era: u64,
    is_away: bool,
    /// Topics of the partitions that are down.
    down: Vec<&'static str>,
    /// Newest record of the leadership topic.
    claim: Vec<u8>,
}

#[derive(Clone)]
pub struct Store {
    state: Arc<(Mutex<State>, Condvar)>,
    record: Record,
}

impl Store {
    pub fn new(record: &Record) -> Self {
        let state = State {
            topics: BTreeMap::new(),
            era: 1,
            is_away: false,
            down: Vec::new(),
            claim: Vec::new(),
        };
        Self {
            state: Arc::new((Mutex::new(state), Condvar::new())),
            record: record.clone(),
        }
    }

    pub fn serve(&self) -> Server {
        let store = self.clone();
        Server::start(Arc::new(move |request| Some(store.answer(&request))))
    }

    /// Writes the newest record of a key, as the operator and runners do; an empty value removes the key. Returns the offset, `None`
    /// while the store is away.
    pub fn put(&self, topic: &str, key: &str, value: &str) -> Option<u64> {
        thread::sleep(ANSWER_TIME);
        let mut content = vec![u8::try_from(key.len()).expect("a short key")];
        content.extend(key.as_bytes());
        content.extend(value.as_bytes());
        let mut state = self.state.0.lock().unwrap();
        if state.is_away {
            return None;
        }
        let records = state.topics.entry(topic.to_owned()).or_default();
        records.push((content, Instant::now()));
        let offset = records.len() as u64 - 1;
        self.state.1.notify_all();
        Some(offset)
    }

    /// Writes a record, repeatedly until the store takes it, and returns its offset.
    pub fn put_until_taken(&self, topic: &str, key: &str, value: &str) -> u64 {
        loop {
            if let Some(offset) = self.put(topic, key, value) {
                return offset;
            }
            thread::sleep(Duration::from_millis(2));
        }
    }


    /// Sets the topics whose partitions are down: calls to them are answered 503.
    pub fn set_down(&self, topics: &[&'static str]) {
        self.state.0.lock().unwrap().down = topics.to_vec();
        self.record.line(&format!("store partitions down={topics:?}"));
    }

    /// Returns the name of the machine that wrote last under a condition to elect a leader; names are `front-` and a digit.
    pub fn leader(&self) -> Option<String> {
        const PREFIX: &[u8] = b"front-";
        let state = self.state.0.lock().unwrap();
        let at = state.claim.windows(PREFIX.len()).position(|window| window == PREFIX)?;
        let name = state.claim.get(at..=at + PREFIX.len())?;
        Some(String::from_utf8_lossy(name).into_owned())
    }

    /// Holds a drill: the store is away for a while, and comes back from a copy that was made at a time.
    pub fn drill(&self, away: Duration, copied: Instant) {
        self.state.0.lock().unwrap().is_away = true;
        self.state.1.notify_all();
        let age_s = copied.elapsed().as_secs_f64();
        self.record.line(&format!("store away, copy_age_s={age_s:.2}"));
        thread::sleep(away);
        let mut state = self.state.0.lock().unwrap();
        for (topic, records) in &mut state.topics {
            let former = records.len();
            records.retain(|(_, appended)| *appended <= copied);
            let end = records.len();
            self.record
                .line(&format!("store topic={topic} end={former} after_drill={end}"));
        }
        state.era += 1;
        state.is_away = false;
        let era = state.era;
        drop(state);
        self.record.line(&format!("store back, era={era}"));
    }

    fn answer(&self, request: &Request) -> Response {
        thread::sleep(ANSWER_TIME);
        let topic = request.query("topic").unwrap_or_default();
        let response = match request.path() {
            _ if self.is_down(topic) => Response::new(503, "{}"),
            "/api/log-append" => self.append(topic, request),
            "/api/log-read" => self.read(topic, request),
            "/api/log-newest" => self.newest(topic, request),
            _ => Response::new(404, "{}"),
        };
        let era = self.state.0.lock().unwrap().era;
        response.with("Store-Era", &era.to_string())
    }

    fn is_down(&self, topic: &str) -> bool {
        let state = self.state.0.lock().unwrap();
        state.is_away || state.down.contains(&topic)
    }

    fn append(&self, topic: &str, request: &Request) -> Response {
        // The system must not write what the operator and the runners write.
        if topic == "keyed.op" || topic == "keyed.servers" {
            return Response::new(403, "{}");
        }
        let mut state = self.state.0.lock().unwrap();
        let records = state.topics.entry(topic.to_owned()).or_default();
        let offset = records.len() as u64;
        let at = request.query("at").and_then(|at| at.parse::<u64>().ok());
        if at.is_some_and(|at| at != offset) {
            return Response::new(412, format!("{{\"end\":{offset}}}"));
        }
        let mut rest = &request.body[..];
        while let Some((length, after)) = rest.split_first_chunk::<4>() {
            let length = u32::from_be_bytes(*length) as usize;
            records.push((after[..length].to_vec(), Instant::now()));
            rest = &after[length..];
        }
        let end = records.len();
        let newest = records.last().map(|(record, _)| record.clone());
        self.state.1.notify_all();
        if topic == "quetzalpick-leadership" {
            state.claim = newest.unwrap_or_default();
            self.record.line(&format!("store append topic={topic} offset={offset}"));
        }
        Response::new(200, format!("{{\"offset\":{offset},\"end\":{end}}}"))
    }

    fn read(&self, topic: &str, request: &Request) -> Response {
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or(0) as usize;
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0));
        let until = Instant::now() + wait;
        let mut state = self.state.0.lock().unwrap();
        loop {
            if state.is_away {
                return Response::new(503, "{}");
            }
            let records = state.topics.get(topic).map_or(&[][..], |records| records);
            if from > records.len() {
                return Response::new(410, "{\"first\":0}");
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (record, _) in &records[from..] {
                    body.extend((record.len() as u32).to_be_bytes());
                    body.extend(record);
                }
                return Response::new(200, body);
            }
            state = self.state.1.wait_timeout(state, left).unwrap().0;
        }
    }

    fn newest(&self, topic: &str, request: &Request) -> Response {
        let state = self.state.0.lock().unwrap();
        let records = state.topics.get(topic).map_or(&[][..], |records| records);
        let mut newest: BTreeMap<String, (usize, &[u8])> = BTreeMap::new();
        for (offset, (record, _)) in records.iter().enumerate() {
            let length = usize::from(record[0]);
            let key = String::from_utf8_lossy(&record[1..=length]).into_owned();
            newest.insert(key, (offset, &record[1 + length..]));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let after = request.query("after").unwrap_or_default();
        let mut rest = newest.iter().filter(|(key, _)| key.as_str() > after);
        let items: Vec<String> = rest
            .by_ref()
            .take(PAGE_RECORDS)
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let has_more = rest.next().is_some();
        let (items, end) = (items.join(","), records.len());
        Response::new(
            200,
            format!("{{\"items\":[{items}],\"has_more\":{has_more},\"end\":{end}}}"),
        )
    }
}
